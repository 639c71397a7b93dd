package endpointpoll

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Limits of the platform in ms: when a missed change counts as notified, counted from when the watch fell silent, and
// the time after which discovery fails a call that waits.
const (
	notifiedAfterMs      = 6000.0
	discoveryCallLimitMs = 2000.0
)

// TestFailedCallAfterSilentWatch checks that every broker of any fleet begins a third call in time if a watch is silent
// from its opening on and the call after it fails as well, with an error or without any response. The response must be
// there half a drain grace after the change counts as notified, as the scheduler uses the other half.
func TestFailedCallAfterSilentWatch(t *testing.T) {
	const responseMs = 250.0
	rapid.Check(t, func(t *rapid.T) {
		brokerCount := rapid.IntRange(1, 7500).Draw(t, "broker count")
		brokerIndex := rapid.IntRange(0, brokerCount-1).Draw(t, "broker index")
		poller := NewPoller(Options{DrainGrace: testDrainGraceMs, BrokerIndex: brokerIndex, BrokerCount: brokerCount})
		poller.SetCached(testRevision, testEndpointCount)
		watch := poller.BeginCall(0)
		next := poller.HandleFailure(watch.Timeout, true)
		assert.False(t, next.NotifyFailure)
		call := poller.BeginCall(next.At)
		assert.Less(t, call.Wait, 100.0, "discovery answers at once")
		if rapid.Bool().Draw(t, "no response") {
			next = poller.HandleFailure(next.At+call.Timeout, true)
		} else {
			afterMs := rapid.Float64Range(0, discoveryCallLimitMs).Draw(t, "error after")
			next = poller.HandleFailure(next.At+afterMs, false)
		}
		assert.False(t, next.NotifyFailure, "the scheduler's backoff does not delay the call")
		assert.LessOrEqual(t, next.At+responseMs, notifiedAfterMs+testDrainGraceMs/2)
	})
}

// TestRepeatedErrorsAfterSilentWatch checks that only one failed call is repeated without the scheduler's backoff, so
// that a service that is down is not called at a high rate, and that a response resets this.
func TestRepeatedErrorsAfterSilentWatch(t *testing.T) {
	poller := NewPoller(Options{DrainGrace: testDrainGraceMs})
	poller.SetCached(testRevision, testEndpointCount)
	for range 2 {
		poller.BeginCall(0)
		poller.HandleFailure(3500, true)
		poller.BeginCall(3500)
		assert.False(t, poller.HandleFailure(3500, false).NotifyFailure)
		poller.BeginCall(3500)
		assert.True(t, poller.HandleFailure(3500, false).NotifyFailure)
		assert.Greater(t, poller.BeginCall(4000).Wait, 1000.0, "a watch")
		assert.True(t, poller.HandleFailure(4000, false).NotifyFailure)
		poller.BeginCall(5000)
		poller.HandleResponse(5001, Response{Revision: testRevision})
	}
}

// TestUnresponsiveServiceIsNotCalledMoreOften checks that a service that stops responding gets no more calls than one
// whose watches run for their whole wait.
func TestUnresponsiveServiceIsNotCalledMoreOften(t *testing.T) {
	poller := NewPoller(Options{DrainGrace: testDrainGraceMs})
	poller.SetCached(testRevision, testEndpointCount)
	now := 0.0
	const calls = 100
	for range calls {
		call := poller.BeginCall(now)
		now = poller.HandleFailure(now+call.Timeout, true).At
	}
	assert.GreaterOrEqual(t, now, calls*watchWaitMs)
}
