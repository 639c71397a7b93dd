package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// manyChanges are 200 changes in a row from the map in use: the shard of bucket 0 is split and merged over and over,
// and moves begin and are aborted. lastShard is the shard that holds bucket 0 at the end.
func (f *fixture) manyChanges() (changes []shardmap.Change, lastShard int) {
	epoch := f.core.Epoch()
	first := 0 // the shard of bucket 0
	for next := 8; next < 8+3*25; next += 3 {
		for _, change := range []shardmap.Change{
			{Kind: shardmap.Split, Shard: first, At: 3, Into: []int{next, next + 1}},
			{Kind: shardmap.Move, Shard: next, From: "a", To: "d"},
			{Kind: shardmap.Handover, Shard: next},
			{Kind: shardmap.Abort, Shard: next},
			{Kind: shardmap.Merge, Shard: next, Other: next + 1, Into: []int{next + 2}},
			{Kind: shardmap.Move, Shard: 1, From: "b", To: "d"},
			{Kind: shardmap.Handover, Shard: 1},
			{Kind: shardmap.Abort, Shard: 1},
		} {
			change.Base = epoch
			change.Epoch = epoch + 1
			epoch++
			changes = append(changes, change)
		}
		first = next + 2
	}
	return changes, first
}

// The shard catalogue could not be reached; then 200 changes come in one answer while a request is open.
func TestManyChangesAtOnce(t *testing.T) {
	broker := newFixture(t)
	client := broker.submit(idempotentClass, 1, 0, 1, 2, 3)
	changes, lastShard := broker.manyChanges()
	require.Len(t, changes, 200)
	require.NoError(t, broker.core.ApplyChanges(changes, nil))
	gap := shardmap.Change{Base: 7, Epoch: changes[199].Epoch + 9, Kind: shardmap.Handover}
	require.Error(t, broker.core.ApplyChanges([]shardmap.Change{gap}, nil))
	broker.endAttempt(broker.inFlight[0], scheduler.Failed)
	broker.runFor(50)
	broker.succeedAll()
	answer := broker.finalAnswer(client)
	require.True(t, answer.Complete)
	require.Len(t, answer.Values, 4)
	require.Equal(t, lastShard, broker.attempts[4].Shard, "the last shard of the buckets that the client named")
}

// Versions of the map beyond the limit are dropped, which is logged, and the requests that began by them are answered
// all the same.
func TestMapVersionsAtTheLimit(t *testing.T) {
	broker := newFixture(t)
	var clients []*recorder
	for i := range 12 {
		clients = append(clients, broker.submit(idempotentClass, 0, i%8))
		broker.applyChange(shardmap.Change{Kind: shardmap.Assign, Shard: 7, Replicas: []string{backendNames[i%4]}})
	}
	require.Equal(t, 8, broker.shardMap.Stats().RetainedVersions)
	require.Contains(t, broker.lines, "shard map: 1 versions dropped at the limit, 5 since the start")
	broker.succeedAll()
	for _, client := range clients {
		require.True(t, broker.finalAnswer(client).Complete)
	}
	require.Equal(t, 1, broker.shardMap.Stats().RetainedVersions)
}
