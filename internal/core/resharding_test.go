package core

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// TestNonIdempotentPartInFlightWhenItsShardMoves checks that the answer of the former replica counts, that no other
// attempt is sent meanwhile, and that only a part that provably never ran is sent to the new replica.
func TestNonIdempotentPartInFlightWhenItsShardMoves(t *testing.T) {
	for name, test := range map[string]struct {
		outcome scheduler.Outcome
		kind    AnswerKind
		retried bool
	}{
		"the former replica answers":  {outcome: scheduler.Succeeded, kind: Answered},
		"the former replica fails":    {outcome: scheduler.Failed, kind: Failed},
		"the connection is reset":     {outcome: scheduler.ConnectionReset, kind: Failed},
		"the shard is no longer held": {outcome: scheduler.NotHolder, retried: true},
		"the attempt is rejected":     {outcome: scheduler.Rejected, retried: true},
		"the connection is refused":   {outcome: scheduler.ConnectFailed, retried: true},
	} {
		t.Run(name, func(t *testing.T) {
			broker := newFixture(t)
			client := broker.submit(nonIdempotentClass, 1, 0)
			require.Len(t, broker.inFlight, 1)
			first := broker.inFlight[0]
			formerReplica := backendOf(first)
			broker.moveShard(0, formerReplica, "d")
			broker.runFor(50)
			require.Len(t, broker.attempts, 1, "no other attempt is sent while the first is in flight")
			first.BackendEpoch = 4
			broker.endAttempt(first, test.outcome)
			broker.runFor(200)
			if !test.retried {
				require.Equal(t, test.kind, broker.finalAnswer(client).Kind)
				require.Len(t, broker.attempts, 1)
				return
			}
			require.Len(t, broker.attempts, 2)
			require.NotEqual(t, formerReplica, backendOf(broker.attempts[1]), "the map in use has another replica")
			require.EqualValues(t, 4, broker.attempts[1].Epoch)
			broker.endAttempt(broker.attempts[1], scheduler.Succeeded)
			require.Equal(t, Answered, broker.finalAnswer(client).Kind)
		})
	}
	t.Run("the attempt times out", func(t *testing.T) {
		broker := newFixture(t)
		client := broker.submit(nonIdempotentClass, 1, 0)
		broker.moveShard(0, backendOf(broker.inFlight[0]), "d")
		broker.runFor(2100)
		require.Equal(t, Failed, broker.finalAnswer(client).Kind)
		require.Len(t, broker.attempts, 1, "a timeout at the former replica is not retried at the new one")
	})
	t.Run("the shard is split and the connection is reset", func(t *testing.T) {
		broker := newFixture(t)
		client := broker.submit(nonIdempotentClass, 1, 0)
		broker.splitFirstShard()
		broker.endAttempt(broker.inFlight[0], scheduler.ConnectionReset)
		broker.runFor(200)
		require.Equal(t, Failed, broker.finalAnswer(client).Kind)
		require.Len(t, broker.attempts, 1)
	})
}

// TestHalfOfASplitPartDoesNotCount checks that a part whose shard was split is replaced by two parts, which count
// only together.
func TestHalfOfASplitPartDoesNotCount(t *testing.T) {
	broker := newFixture(t)
	client := broker.submit(idempotentClass, 1, 0, 1, 2, 3)
	require.Len(t, broker.inFlight, 4)
	first := broker.inFlight[0]
	require.Equal(t, 0, first.Shard)
	broker.splitFirstShard()
	broker.endAttempt(first, scheduler.Failed)
	broker.runFor(50)
	require.Len(t, broker.attempts, 6)
	halves := broker.attempts[4:]
	require.Equal(t, []shardmap.Range{{Start: 0, End: 4}, {Start: 4, End: 10}},
		[]shardmap.Range{halves[0].Buckets, halves[1].Buckets})
	require.EqualValues(t, 1, broker.core.ReshardingStats().Split)
	for _, attempt := range slices.Clone(broker.inFlight) {
		if attempt != halves[1] {
			broker.endAttempt(attempt, scheduler.Succeeded)
		}
	}
	require.Empty(t, client.answers, "three and a half of four parts are not complete")
	broker.runFor(2100)
	answer := broker.finalAnswer(client)
	require.Equal(t, Answered, answer.Kind)
	require.False(t, answer.Complete)
	require.Len(t, answer.Values, 3)
	for _, value := range answer.Values {
		require.NotEqual(t, 0, value.Shard, "half of a part is not in the answer")
	}
}

// TestBothHalvesOfASplitPartCompleteIt checks that the values of both halves are in the answer under the shard that
// the client named, and that nothing of the request is left afterwards.
func TestBothHalvesOfASplitPartCompleteIt(t *testing.T) {
	broker := newFixture(t)
	client := broker.submit(idempotentClass, 1, 0, 1)
	first := broker.inFlight[0]
	broker.splitFirstShard()
	broker.endAttempt(first, scheduler.Failed)
	broker.runFor(50)
	broker.succeedAll()
	answer := broker.finalAnswer(client)
	require.True(t, answer.Complete)
	require.EqualValues(t, 1, answer.Epoch, "the epoch in use at the request's start")
	require.Equal(t, []Value{
		{Shard: 0, Buckets: shardmap.Range{Start: 0, End: 4}, Doc: []byte("0-4")},
		{Shard: 0, Buckets: shardmap.Range{Start: 4, End: 10}, Doc: []byte("4-10")},
		{Shard: 1, Buckets: shardmap.Range{Start: 10, End: 20}, Doc: []byte("10-20")},
	}, answer.Values)
	require.Equal(t, 1, broker.shardMap.Stats().RetainedVersions, "the request's version of the map is released")
	require.Empty(t, broker.core.partsByShard)
	require.Empty(t, broker.core.inFlight)
}

// TestMergedShardAnswersForTwoParts checks that each attempt at a merged shard requests the buckets of its own part,
// so that no bucket of the two parts counts twice.
func TestMergedShardAnswersForTwoParts(t *testing.T) {
	broker := newFixture(t)
	broker.splitFirstShard()
	client := broker.submit(idempotentClass, 2, 8, 9)
	require.Len(t, broker.inFlight, 2)
	broker.applyChange(shardmap.Change{Kind: shardmap.Merge, Shard: 8, Other: 9, Into: []int{10}})
	formerAttempts := slices.Clone(broker.inFlight)
	broker.endAttempt(formerAttempts[0], scheduler.Failed)
	broker.runFor(50)
	retry := broker.attempts[2]
	require.Equal(t, 10, retry.Shard)
	require.Equal(t, shardmap.Range{Start: 0, End: 4}, retry.Buckets)
	broker.endAttempt(formerAttempts[1], scheduler.Succeeded) // a replica of the retired shard answers after the merge
	broker.endAttempt(retry, scheduler.Succeeded)
	answer := broker.finalAnswer(client)
	require.True(t, answer.Complete)
	require.Len(t, answer.Values, 2)
	require.Zero(t, broker.core.ReshardingStats().Duplicates)
}

// TestShardMovesAwayAndBackWhileAttemptInFlight checks that the answer to an attempt counts exactly once if the shard
// moves to another backend and back, and is then split, while the attempt is in flight.
func TestShardMovesAwayAndBackWhileAttemptInFlight(t *testing.T) {
	broker := newFixture(t)
	client := broker.submit(nonIdempotentClass, 1, 0)
	first := broker.inFlight[0]
	formerReplica := backendOf(first)
	broker.moveShard(0, formerReplica, "d")
	broker.moveShard(0, "d", formerReplica)
	broker.splitFirstShard()
	broker.endAttempt(first, scheduler.Succeeded)
	require.Equal(t, Answered, broker.finalAnswer(client).Kind)
	require.Len(t, broker.attempts, 1)
}

// TestPartWaitsForNewerMapOfBackend checks what follows if a backend does not hold the part's shard and knows a newer
// map. The broker requests that map and retries the part at the other replica at once. Once all replicas have replied
// not-holder, the part waits until the map of that epoch is in use.
func TestPartWaitsForNewerMapOfBackend(t *testing.T) {
	broker := newFixture(t)
	client := broker.submit(nonIdempotentClass, 1, 0)
	for i := range 2 {
		require.Len(t, broker.attempts, i+1)
		attempt := broker.attempts[i]
		attempt.BackendEpoch = 4
		broker.endAttempt(attempt, scheduler.NotHolder)
		broker.runFor(20)
	}
	require.NotEqual(t, broker.attempts[0].Backend, broker.attempts[1].Backend)
	require.Len(t, broker.attempts, 2, "both replicas replied, and the part waits")
	require.Equal(t, []uint64{4, 4}, broker.newerEpochs)
	broker.moveShard(0, "a", "c")
	broker.moveShard(0, "b", "d")
	broker.runFor(20)
	require.Len(t, broker.attempts, 3, "the map is in use, and the part no longer waits")
	require.Contains(t, []string{"c", "d"}, backendOf(broker.attempts[2]))
	broker.endAttempt(broker.attempts[2], scheduler.Succeeded)
	require.Equal(t, Answered, broker.finalAnswer(client).Kind)
}
