package shardmap

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestPollerRequestsASnapshotAfterAnInvalidUpdate(t *testing.T) {
	poller := NewPoller(DefaultPollerOptions, 7)
	request, due := poller.Next(0)
	require.True(t, due && request.FullSnapshot && request.WaitMs == 0, "the first call requests a snapshot")
	_, due = poller.Next(1)
	require.False(t, due, "only one call is in flight at a time")
	poller.Succeeded(2, 41)

	request, due = poller.Next(2)
	watch := PollRequest{
		SinceEpoch: 41,
		WaitMs:     DefaultPollerOptions.WatchTimeoutMs,
		TimeoutMs:  DefaultPollerOptions.WatchTimeoutMs + changesTimeoutMs,
	}
	require.Equal(t, watch, request)
	require.True(t, due)

	poller.AnswerInvalid(5)
	request, due = poller.Next(5)
	require.True(t, due && request.FullSnapshot, "after invalid changes a snapshot is requested at once")
	poller.AnswerInvalid(6)
	_, due = poller.Next(6)
	require.False(t, due, "after an invalid snapshot the next call is delayed")
	require.GreaterOrEqual(t, poller.NextAt(), 6+DefaultPollerOptions.BackoffMinMs/2)
}

func TestPollerBackoffIsBounded(t *testing.T) {
	poller := NewPoller(DefaultPollerOptions, 7)
	now := 0.0
	calls := 0
	for now < 30_000 {
		if _, due := poller.Next(now); due {
			calls++
			poller.Failed(now)
		}
		require.Greater(t, poller.NextAt(), now)
		require.LessOrEqual(t, poller.NextAt(), now+DefaultPollerOptions.BackoffMaxMs)
		now = poller.NextAt()
	}
	require.Less(t, calls, 25, "number of calls in 30 s while all fail")
	require.Greater(t, calls, 7)
}

func TestReportsOfANewerEpochLeadToOnePoll(t *testing.T) {
	poller := NewPoller(DefaultPollerOptions, 7)
	poller.Next(0)
	poller.Succeeded(0, 41)
	poller.Next(0) // the watch
	now := 100.0
	polls := 0
	for range 500 { // one not-holder reply per ms
		poller.NewerEpochSeen(now, 50)
		if request, due := poller.Next(now); due {
			wantRequest := PollRequest{SinceEpoch: 41, TimeoutMs: changesTimeoutMs, CancelsPending: true}
			require.Equal(t, wantRequest, request, "the watch is cancelled, and the source must answer at once")
			polls++
		}
		now++
	}
	require.Equal(t, 1, polls, "one poll for all reports")
	poller.NewerEpochSeen(now, 40)
	require.True(t, math.IsInf(poller.NextAt(), 1), "an older epoch is ignored")

	// While the source is behind the backends, it is polled again at growing intervals.
	for now < 2600 {
		if _, due := poller.Next(now); due {
			polls++
		}
		poller.Succeeded(now, 41)
		poller.NewerEpochSeen(now, 50)
		now += 10
	}
	require.Less(t, polls, 6, "number of polls while the source does not have the epoch")
	poller.Succeeded(now, 50)
	poller.Next(now)
	poller.NewerEpochSeen(now, 50)
	require.True(t, math.IsInf(poller.NextAt(), 1), "the epoch is already in use")
}
