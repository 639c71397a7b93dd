package endpointpoll

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	testDrainGraceMs  = 1000.0
	testRevision      = 41
	testEndpointCount = 3
	neverCalledMs     = -1e9
)

// TestPushedListIsReadInTime checks, for any sequence of responses and failures, that the next call to the agent is
// due within half of the drain grace, and that calls are at least one period apart. Otherwise the broker would send
// work to a draining backend after its grace, or overload the agent.
func TestPushedListIsReadInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drainGraceMs := rapid.Float64Range(200, 5000).Draw(t, "drain grace")
		poller := NewPoller(Options{Pushed: true, DrainGrace: drainGraceMs})
		poller.SetCached(testRevision, testEndpointCount)
		now := 0.0
		lastCallAt := neverCalledMs
		for range 200 {
			call := poller.BeginCall(now)
			assert.GreaterOrEqual(t, now-lastCallAt, poller.Period()-1e-9, "calls are at least one period apart")
			assert.LessOrEqual(t, call.Wait, call.Timeout/2)
			lastCallAt = now
			next, endedAt := drawPushedOutcome(t, poller, now, call)
			assert.False(t, next.NotifyFailure, "the scheduler is not involved in the timing")
			assert.LessOrEqual(t, next.At-now, drainGraceMs/2, "a later change is read within half of the grace")
			now = max(next.At, endedAt)
		}
	})
}

// drawPushedOutcome ends a call to an agent with a random outcome and returns when it ended.
func drawPushedOutcome(t *rapid.T, poller *Poller, now float64, call Call) (next Next, endedAt float64) {
	t.Helper()
	const (
		unresponsive = 0
		refused      = 1
		lastOutcome  = 4 // all outcomes above refused are a response
	)
	switch rapid.IntRange(unresponsive, lastOutcome).Draw(t, "outcome") {
	case unresponsive:
		endedAt = now + call.Timeout
		return poller.HandleFailure(endedAt, true), endedAt
	case refused:
		return poller.HandleFailure(now, false), now
	}
	endedAt = now + rapid.Float64Range(0, call.Wait).Draw(t, "duration")
	return poller.HandleResponse(endedAt, Response{
		Complete:      rapid.Bool().Draw(t, "complete"),
		Revision:      rapid.Uint64Range(0, 60).Draw(t, "revision"),
		EndpointCount: rapid.IntRange(0, 4).Draw(t, "endpoint count"),
	}), endedAt
}

// TestStaleRevision checks that an incremental response of an older revision is rejected, and that the next call
// requests the full list. A service that restarted sends such a response.
func TestStaleRevision(t *testing.T) {
	for name, pushed := range map[string]bool{"polled": false, "pushed": true} {
		t.Run(name, func(t *testing.T) {
			poller := NewPoller(Options{Pushed: pushed, DrainGrace: testDrainGraceMs})
			assert.True(t, poller.BeginCall(0).FullList)
			full := Response{Complete: true, Revision: testRevision, EndpointCount: testEndpointCount}
			assert.True(t, poller.HandleResponse(1, full).Apply)
			assert.False(t, poller.BeginCall(100).FullList)

			next := poller.HandleResponse(101, Response{Revision: 7, EndpointCount: 1})
			assert.False(t, next.Apply)
			assert.ErrorIs(t, next.Err, ErrStaleRevision)

			assert.True(t, poller.BeginCall(next.At).FullList)
			full.Revision = 7
			assert.True(t, poller.HandleResponse(next.At, full).Apply, "the full list may have an older revision")
			call := poller.BeginCall(next.At + 200)
			assert.False(t, call.FullList)
			assert.EqualValues(t, 7, call.SinceRevision)
		})
	}
}

// TestEmptyList checks that an empty full list does not replace one with endpoints, and that the list is requested
// again at the earliest one period later.
func TestEmptyList(t *testing.T) {
	poller := NewPoller(Options{Pushed: true, DrainGrace: testDrainGraceMs})
	poller.SetCached(0, 12)
	poller.BeginCall(0)
	next := poller.HandleResponse(0.2, Response{Complete: true})
	assert.False(t, next.Apply)
	assert.ErrorIs(t, next.Err, ErrEmptyList)
	assert.GreaterOrEqual(t, next.At, 100.0)
	assert.EqualValues(t, 1, poller.Stats().Empty)

	uncached := NewPoller(Options{Pushed: true, DrainGrace: testDrainGraceMs})
	uncached.BeginCall(0)
	assert.True(t, uncached.HandleResponse(0, Response{Complete: true}).Apply, "no list is cached yet")
}

// TestPolledWatchDoesNotSpin checks that a service that answers at once without a change is called at most 50 times
// per second, and that the next call is due at once after a change.
func TestPolledWatchDoesNotSpin(t *testing.T) {
	poller := NewPoller(Options{DrainGrace: testDrainGraceMs})
	poller.SetCached(testRevision, testEndpointCount)
	now := 0.0
	calls := 0
	for ; now < 1000; calls++ {
		poller.BeginCall(now)
		now = max(poller.HandleResponse(now+0.1, Response{Revision: testRevision}).At, now+0.1)
	}
	assert.LessOrEqual(t, calls, 51)
	poller.BeginCall(now)
	change := Response{Revision: testRevision + 1, EndpointCount: 1}
	assert.Equal(t, now+0.1, poller.HandleResponse(now+0.1, change).At)
	assert.True(t, poller.HandleFailure(now, false).NotifyFailure, "the scheduler paces retries after a refusal")
}

// TestTimedOutWatchIsReopened checks that every broker reopens a polled watch that timed out in time: it reads a
// missed change within half of the drain grace after it counts as notified, which is 6 s after the start of the call.
// It also checks that all brokers together call less often than with healthy watches.
func TestTimedOutWatchIsReopened(t *testing.T) {
	const (
		notifiedAfterMs     = 6000
		halfDrainGraceMs    = testDrainGraceMs / 2
		responseAllowanceMs = 1000
	)
	rapid.Check(t, func(t *rapid.T) {
		brokerCount := rapid.IntRange(1, 1000).Draw(t, "broker count")
		brokerIndex := rapid.IntRange(0, brokerCount-1).Draw(t, "broker index")
		poller := NewPoller(Options{DrainGrace: testDrainGraceMs, BrokerIndex: brokerIndex, BrokerCount: brokerCount})
		poller.SetCached(testRevision, testEndpointCount)
		now := 0.0
		for range 5 {
			call := poller.BeginCall(now)
			assert.False(t, call.FullList)
			next := poller.HandleFailure(now+call.Timeout, true)
			assert.False(t, next.NotifyFailure, "the scheduler's backoff does not delay the call")
			assert.LessOrEqual(t, next.At, now+notifiedAfterMs+halfDrainGraceMs-responseAllowanceMs,
				"one second is left for the response")
			assert.Greater(t, next.At-now, call.Wait, "calls are less frequent than those of a healthy watch")
			now = next.At
		}
	})
}
