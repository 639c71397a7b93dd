package core

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

func TestFirstReportOfAnAttemptCounts(t *testing.T) {
	broker := newFixedFixture(t, 0, true, scheduler.Class{})
	request := broker.submitOne()
	client := request.Client.(*recordingClient)
	attempt := broker.attempts[0]
	broker.core.AttemptEnded(attempt, scheduler.Succeeded, []byte("first"))
	broker.core.AttemptEnded(attempt, scheduler.Failed, nil)
	broker.core.AttemptEndedLater(attempt, scheduler.ConnectFailed)
	broker.core.AttemptEnded(attempt, scheduler.Succeeded, []byte("second"))
	broker.runFor(3000)
	answer := broker.finalAnswer(client)
	assert.Equal(t, Answer{Kind: Answered, Complete: true, Values: []Value{{Doc: []byte("first")}}}, answer)
	assert.Len(t, broker.attempts, 1)
	assert.Empty(t, broker.core.inFlight)
	assert.Empty(t, broker.core.deadlines)
}

// The backend does not answer an attempt. The attempt ends at its deadline, and its request fails exactly once.
func TestAttemptEndsAtItsDeadline(t *testing.T) {
	broker := newFixedFixture(t, 0, true, scheduler.Class{Idempotency: scheduler.NonIdempotent})
	request := broker.submitOne()
	client := request.Client.(*recordingClient)
	attempt := broker.attempts[0]
	broker.begun[attempt] = true
	require.Greater(t, attempt.Deadline, broker.now)
	require.LessOrEqual(t, attempt.Deadline, request.Deadline)
	broker.runFor(int(attempt.Deadline-broker.now) - 1)
	require.Equal(t, []*Attempt{attempt}, broker.inFlight)
	broker.runFor(1)
	require.Empty(t, broker.inFlight, "the attempt was abandoned")
	broker.runFor(3000)
	assert.Equal(t, Answer{Kind: Failed, TimedOut: true}, broker.finalAnswer(client))
	assert.Equal(t, Counts{Submitted: 1, Failed: 1}, broker.core.Counts())
	broker.core.AttemptEnded(attempt, scheduler.Succeeded, []byte("too late"))
	broker.runFor(1)
	assert.Len(t, client.answers, 1)
}
