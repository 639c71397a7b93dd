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

// maxInlineBytes is the largest body that is parsed on the event loop. A larger one is parsed in another goroutine,
// so that requests are not delayed.
const maxInlineBytes = 128 << 10

// handleInput handles the answer in the input once it is complete. eof means that the catalogue has closed its side
// of the connection.
func (s *Source) handleInput(eof bool) {
	response, err := httpresponse.Parse(s.stream.In, s.options.MaxAnswerBytes, eof)
	if err == nil && !response.Complete() {
		if len(s.stream.In) >= s.options.MaxAnswerBytes+maxHeaderBytes {
			s.failCall(logs.ShardMapMalformed, fmt.Errorf("answer exceeds %d bytes", s.options.MaxAnswerBytes))
		}
		return
	}
	if err == nil && !s.inFlight {
		err = errors.New("answer without a call in flight")
	}
	if err == nil && response.Status != http.StatusOK {
		err = fmt.Errorf("HTTP status %d, want 200", response.Status)
	}
	if err != nil {
		s.failCall(logs.ShardMapMalformed, err)
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
	s.deliverUpdate(update, err)
}

// finishCall ends the answered call, and closes the connection if this was its last answer.
func (s *Source) finishCall(response httpresponse.Response) {
	s.stream.Consume(response.Size)
	s.inFlight = false
	s.deadlineMs = math.Inf(1)
	s.answeredCalls++
	if response.Last {
		s.disconnect(logs.ShardMapClosed, nil)
	}
}

// parseAndPost parses a body outside the event loop and posts the update to the loop.
func (s *Source) parseAndPost(body []byte, sequence int) {
	update, err := Parse(body)
	s.loop.Post(func() {
		if sequence == s.sequence && !s.closed {
			s.deliverUpdate(update, err)
		}
	})
}

// deliverUpdate passes an update to the sink and schedules the next call. An update that cannot be parsed or is
// rejected does not change the current map.
func (s *Source) deliverUpdate(update Update, err error) {
	if err == nil {
		err = s.applyUpdate(update)
	}
	now := s.loop.Now()
	if err != nil {
		s.log.Rejected(logs.ShardMapRejected, "shard map rejected", err)
		s.poller.AnswerInvalid(now)
	} else {
		s.poller.Succeeded(now, s.sink.Epoch())
	}
	s.runDue()
}

func (s *Source) applyUpdate(update Update) error {
	if update.Snapshot != nil {
		return s.sink.ApplySnapshot(*update.Snapshot)
	}
	return s.sink.ApplyChanges(update.Changes, update.Backends)
}
