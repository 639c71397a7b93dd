package slicemap

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFollowWatchesAndRereads(t *testing.T) {
	f := NewPoller(DefaultPollerOptions, 7)
	c, due := f.Next(0)
	require.True(t, due && c.FullSnapshot && c.WaitMs == 0, "the whole map first")
	_, due = f.Next(1)
	require.False(t, due, "one call at a time")
	f.Succeeded(2, 41)
	c, due = f.Next(2)
	require.Equal(t, PollRequest{SinceEpoch: 41, WaitMs: DefaultPollerOptions.WatchTimeoutMs, TimeoutMs: DefaultPollerOptions.WatchTimeoutMs + changesTimeoutMs}, c)
	require.True(t, due)
	f.Rejected(5)
	c, due = f.Next(5)
	require.True(t, due && c.FullSnapshot, "after a fault the whole map, at once")
	f.Rejected(6)
	_, due = f.Next(6)
	require.False(t, due, "a second fault is not asked for at once: the source has nothing better")
	require.GreaterOrEqual(t, f.NextAt(), 6+DefaultPollerOptions.BackoffMinMs/2)
}

func TestFollowBacksOffAndIsBounded(t *testing.T) {
	f, now, calls := NewPoller(DefaultPollerOptions, 7), 0.0, 0
	for now < 30_000 {
		if _, due := f.Next(now); due {
			calls++
			f.Failed(now)
		}
		require.Greater(t, f.NextAt(), now)
		require.LessOrEqual(t, f.NextAt(), now+DefaultPollerOptions.BackoffMaxMs)
		now = f.NextAt()
	}
	require.Less(t, calls, 25, "30 s without a source are a few calls")
	require.Greater(t, calls, 7)
}

func TestHintsLeadToOneRead(t *testing.T) {
	f := NewPoller(DefaultPollerOptions, 7)
	f.Next(0)
	f.Succeeded(0, 41)
	f.Next(0) // the watch
	now, reads := 100.0, 0
	for range 500 { // parts that came back moved, within half a second
		f.NewerEpochSeen(now, 50)
		if c, due := f.Next(now); due {
			require.Equal(t, PollRequest{SinceEpoch: 41, TimeoutMs: changesTimeoutMs, CancelsPending: true}, c, "the watch is given up, and the source answers at once")
			reads++
		}
		now++
	}
	require.Equal(t, 1, reads, "one read at once, not one for each part")
	f.NewerEpochSeen(now, 40)
	require.True(t, math.IsInf(f.NextAt(), 1), "what is older says nothing")
	// A source that is behind the nodes is asked again at a pace.
	for now < 2600 {
		if _, due := f.Next(now); due {
			reads++
		}
		f.Succeeded(now, 41)
		f.NewerEpochSeen(now, 50)
		now += 10
	}
	require.Less(t, reads, 6, "and at a growing one, as it knows nothing of that epoch")
	f.Succeeded(now, 50)
	f.Next(now)
	f.NewerEpochSeen(now, 50)
	require.True(t, math.IsInf(f.NextAt(), 1), "it is known now")
}
