package catalog

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"ternstage/internal/httpanswer"
	"ternstage/internal/logs"
)

// answer takes a whole answer, and goes on with the next call. ended tells that the other side has closed.
func (s *Source) answer(ended bool) {
	status, body, size, last, err := httpanswer.Parse(s.s.In, s.o.MaxAnswerBytes, ended)
	if err == nil && size == 0 {
		if len(s.s.In) >= s.o.MaxAnswerBytes+16<<10 {
			s.fail(logs.ShardMapMalformed, fmt.Errorf("answer over %d bytes", s.o.MaxAnswerBytes))
		}
		return
	}
	if err == nil && !s.out {
		err = errors.New("an answer to no call")
	}
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d", status)
	}
	if err != nil {
		s.fail(logs.ShardMapMalformed, err)
		return
	}
	s.calls++
	if len(body) <= parseHere {
		update, err := Parse(body)
		s.took(size, last)
		s.take(update, err)
		return
	}
	// A map of 100,000 slices takes 0.2 s to read: no request waits for that.
	text, call := slices.Clone(body), s.calls
	s.took(size, last)
	go func() {
		update, err := Parse(text)
		s.loop.Post(func() {
			if call == s.calls && !s.closed {
				s.take(update, err)
			}
		})
	}()
}

// took ends a call whose answer has come whole.
func (s *Source) took(size int, last bool) {
	s.s.Consume(size)
	s.out, s.by = false, math.Inf(1)
	s.served++
	if last {
		s.drop(logs.ShardMapClosed, nil)
	}
}

// take hands what was read on, and goes on with the next call.
func (s *Source) take(update Update, err error) {
	switch {
	case err != nil:
	case update.Snapshot != nil:
		err = s.sink.ApplySnapshot(*update.Snapshot)
	default:
		err = s.sink.ApplyChanges(update.Changes, update.Backends)
	}
	now := s.loop.Now()
	if err != nil {
		// The map in use stays. One line names the first fault; the whole map is asked for.
		s.log.Rejected(logs.ShardMapRejected, "map refused", err)
		s.follow.Rejected(now)
	} else {
		s.follow.Succeeded(now, s.sink.Epoch())
	}
	s.step()
}
