package shardcatalog

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"

	"ternstage/internal/logs"
	"ternstage/internal/transport/httpresponse"
)

// maxInlineBytes is the largest body that is parsed on the event loop. A larger one is parsed in another goroutine, so
// that no request waits for it.
const maxInlineBytes = 128 << 10

// handleInput takes the answer off the input, if it is complete. eof says that the catalogue has closed its side.
func (s *Source) handleInput(eof bool) {
	response, err := httpresponse.Parse(s.stream.In, s.options.MaxAnswerBytes, eof)
	if err == nil && !response.Complete() {
		if len(s.stream.In) >= s.options.MaxAnswerBytes+maxHeaderBytes {
			s.fail(logs.ShardMapMalformed, fmt.Errorf("answer over %d bytes", s.options.MaxAnswerBytes))
		}
		return
	}
	if err == nil && !s.inFlight {
		err = errors.New("an answer to no call")
	}
	if err == nil && response.Status != http.StatusOK {
		err = fmt.Errorf("status %d", response.Status)
	}
	if err != nil {
		s.fail(logs.ShardMapMalformed, err)
		return
	}
	s.sequence++
	if len(response.Body) > maxInlineBytes {
		go s.parseAndPost(slices.Clone(response.Body), s.sequence)
		s.finishCall(response)
		return
	}
	update, err := Parse(response.Body)
	s.finishCall(response)
	s.deliver(update, err)
}

// finishCall ends the call that has been answered, and the connection if no other answer follows on it.
func (s *Source) finishCall(response httpresponse.Response) {
	s.stream.Consume(response.Size)
	s.inFlight = false
	s.deadlineMs = math.Inf(1)
	s.answers++
	if response.Last {
		s.disconnect(logs.ShardMapClosed, nil)
	}
}

// parseAndPost parses a body outside the event loop and delivers the update on it.
func (s *Source) parseAndPost(body []byte, sequence int) {
	update, err := Parse(body)
	s.loop.Post(func() {
		if sequence == s.sequence && !s.closed {
			s.deliver(update, err)
		}
	})
}

// deliver hands an update to the sink and goes on with the next call. An update that cannot be parsed or is rejected
// leaves the map in use as it was.
func (s *Source) deliver(update Update, err error) {
	if err == nil {
		err = s.apply(update)
	}
	now := s.loop.Now()
	if err != nil {
		s.log.Rejected(logs.ShardMapRejected, "shard map rejected", err)
		s.poller.Rejected(now)
	} else {
		s.poller.Succeeded(now, s.sink.Epoch())
	}
	s.step()
}

func (s *Source) apply(update Update) error {
	if update.Snapshot != nil {
		return s.sink.ApplySnapshot(*update.Snapshot)
	}
	return s.sink.ApplyChanges(update.Changes, update.Backends)
}
