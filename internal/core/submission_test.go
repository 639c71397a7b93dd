package core

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

// Clients receive the error texts in response bodies.
func TestSubmitReturnsErrorForInvalidRequest(t *testing.T) {
	for name, test := range map[string]struct {
		parts []Part
		text  string
	}{
		"no part":           {nil, "0 parts, weights that sum to 0.000"},
		"unknown shard":     {[]Part{{Shard: 1, Weight: 1}}, "shard 1 is unknown or asked twice"},
		"negative shard":    {[]Part{{Shard: -1, Weight: 1}}, "shard -1 is unknown or asked twice"},
		"shard twice":       {[]Part{{Weight: 0.5}, {Weight: 0.5}}, "shard 0 is unknown or asked twice"},
		"no weight":         {[]Part{{}}, "weight of shard 0"},
		"weight above 1":    {[]Part{{Weight: 1.002}}, "weight of shard 0"},
		"weight is a NaN":   {[]Part{{Weight: math.NaN()}}, "weight of shard 0"},
		"weights below one": {[]Part{{Weight: 0.98}}, "1 parts, weights that sum to 0.980"},
	} {
		t.Run(name, func(t *testing.T) {
			broker := newFixedFixture(t, 0, true, scheduler.Class{})
			client := &recordingClient{}
			err := broker.core.Submit(&Request{ID: "q", Deadline: broker.now + 2000, Client: client, Parts: test.parts})
			require.ErrorIs(t, err, ErrInvalidRequest)
			require.EqualError(t, err, "the request breaks its contract: "+test.text)
			broker.runFor(3000)
			assert.Empty(t, client.answers, "the front answers the client itself")
			assert.Zero(t, broker.core.Counts())
		})
	}
}

func TestSubmitReturnsErrorForIDInUse(t *testing.T) {
	broker := newFixedFixture(t, 0, true, scheduler.Class{})
	request := broker.submitOne()
	sameID := &Request{ID: request.ID, Deadline: broker.now + 2000, Client: &recordingClient{},
		Parts: []Part{{Weight: 1}}}
	require.EqualError(t, broker.core.Submit(sameID), `the request breaks its contract: request id "q1" is in use`)
	broker.core.AttemptEnded(broker.attempts[0], scheduler.Succeeded, []byte("v"))
	broker.runFor(1)
	require.NoError(t, broker.core.Submit(sameID), "the id is free once the request has ended")
}

func TestSubmitRejectsBeyondMaxOpen(t *testing.T) {
	broker := newFixedFixture(t, 0, true, scheduler.Class{})
	broker.core.maxOpen = 3 // one request with its part, and one less than a second request needs
	broker.submitOne()
	client := &recordingClient{}
	request := &Request{ID: "second", Deadline: broker.now + 2000, Client: client, Parts: []Part{{Weight: 1}}}
	require.NoError(t, broker.core.Submit(request))
	answer := broker.finalAnswer(client)
	assert.Equal(t, Answer{Kind: Rejected, RetryAfter: 1000}, answer)
	assert.Equal(t, Counts{Submitted: 2, Rejected: 1}, broker.core.Counts())
	assert.Equal(t, 1, broker.core.OpenRequests())
}

func TestFinalAnswerDeadlineShortensDeadlines(t *testing.T) {
	broker := newFixedFixture(t, 0, true, scheduler.Class{})
	broker.core.SetFinalAnswerDeadline(broker.now + 500)
	request := broker.submitOne()
	assert.Equal(t, broker.now-1+500, request.Deadline, "submitOne advanced the clock by 1 ms")
}
