package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// manyChanges returns 200 consecutive changes to the map in use. They split and merge the shard of bucket 0
// repeatedly, and begin and abort moves. lastShard is the shard that holds bucket 0 after the last change.
func (f *fixture) manyChanges() (changes []shardmap.Change, lastShard int) {
	epoch := f.core.Epoch()
	firstShard := 0 // the shard that holds bucket 0
	for next := 8; next < 8+3*25; next += 3 {
		for _, change := range []shardmap.Change{
			{Kind: shardmap.Split, Shard: firstShard, At: 3, Into: []int{next, next + 1}},
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
		firstShard = next + 2
	}
	return changes, firstShard
}

// After the shard catalogue was unreachable, it delivers 200 changes in one answer while a request is open.
func TestManyMapChangesAtOnce(t *testing.T) {
	broker := newFixture(t)
	client := broker.submit(idempotentClass, 1, 0, 1, 2, 3)
	changes, lastShard := broker.manyChanges()
	require.Len(t, changes, 200)
	require.NoError(t, broker.core.ApplyChanges(changes, nil))
	changeWithGap := shardmap.Change{Base: 7, Epoch: changes[199].Epoch + 9, Kind: shardmap.Handover}
	require.Error(t, broker.core.ApplyChanges([]shardmap.Change{changeWithGap}, nil))
	broker.endAttempt(broker.inFlight[0], scheduler.Failed)
	broker.runFor(50)
	broker.succeedAll()
	answer := broker.finalAnswer(client)
	require.True(t, answer.Complete)
	require.Len(t, answer.Values, 4)
	require.Equal(t, lastShard, broker.attempts[4].Shard, "the shard that holds the client's buckets after all changes")
}

// Versions of the map beyond the limit are dropped, and a log line says so. The requests that started on these
// versions are answered nevertheless.
func TestMapVersionsAtTheLimit(t *testing.T) {
	broker := newFixture(t)
	var clients []*recordingClient
	for i := range 12 {
		clients = append(clients, broker.submit(idempotentClass, 0, i%8))
		broker.applyChange(shardmap.Change{Kind: shardmap.Assign, Shard: 7, Replicas: []string{backendNames[i%4]}})
	}
	require.Equal(t, 8, broker.shardMap.Stats().RetainedVersions)
	require.Contains(t, broker.logLines, "shard map: 1 versions dropped at the limit, 5 since the start")
	broker.succeedAll()
	for _, client := range clients {
		require.True(t, broker.finalAnswer(client).Complete)
	}
	require.Equal(t, 1, broker.shardMap.Stats().RetainedVersions)
}
