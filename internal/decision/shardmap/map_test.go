package shardmap

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const modelBuckets = 64

// mapModel applies random valid and invalid changes to a map and compares it with a table of executors by bucket.
type mapModel struct {
	m         *Map
	executors [][]string // by bucket, sorted
	nextID    ShardID
	acquired  []acquiredVersion
}

// acquiredVersion is a version with a query on it, and the description of the version when the query started.
type acquiredVersion struct {
	version     *Version
	description string
}

func TestMapAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		model := newMapModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"split":    model.split,
			"merge":    model.merge,
			"move":     model.move,
			"handover": model.handover,
			"done":     model.done,
			"abort":    model.abort,
			"acquire":  model.acquire,
			"release":  model.release,
			"snapshot": model.snapshot,
			"":         model.check,
		})
	})
}

func newMapModel(t *rapid.T) *mapModel {
	model := &mapModel{m: newRingMap(t, 4, 16), executors: make([][]string, modelBuckets), nextID: 4}
	for bucket := range model.executors {
		model.executors[bucket] = sorted(model.m.Current().ShardAt(bucket).Replicas)
	}
	return model
}

func sorted(backends []string) []string { return slices.Sorted(slices.Values(backends)) }

func (model *mapModel) drawShard(t *rapid.T, label string) *Shard {
	return model.m.Current().ShardAt(rapid.IntRange(0, modelBuckets-1).Draw(t, label))
}

func (model *mapModel) split(t *rapid.T) {
	shard := model.drawShard(t, "shard")
	at := rapid.IntRange(0, modelBuckets-1).Draw(t, "at")
	into := []ShardID{model.nextID, model.nextID + 1}
	err := tryApply(model.m, Change{Kind: Split, Shard: shard.ID, At: at, Into: into})
	require.Equal(t, at > shard.Start && at < shard.End, err == nil)
	model.nextID += 2
}

func (model *mapModel) merge(t *rapid.T) {
	first := model.drawShard(t, "first")
	second := model.drawShard(t, "second")
	into := []ShardID{model.nextID}
	err := tryApply(model.m, Change{Kind: Merge, Shard: first.ID, Other: second.ID, Into: into})
	adjacent := first.End == second.Start || second.End == first.Start
	serving := first.State == Serving && second.State == Serving
	sameExecutors := slices.Equal(model.executors[first.Start], model.executors[second.Start])
	require.Equal(t, adjacent && serving && sameExecutors, err == nil)
	model.nextID++
}

func (model *mapModel) move(t *rapid.T) {
	backends := []string{"a", "b", "c", "d", "e"}
	shard := model.drawShard(t, "shard")
	from := rapid.SampledFrom(backends).Draw(t, "from")
	to := rapid.SampledFrom(backends).Draw(t, "to")
	err := tryApply(model.m, Change{Kind: Move, Shard: shard.ID, From: from, To: to}, backends...)
	isValid := shard.State == Serving && slices.Contains(shard.Replicas, from) && !slices.Contains(shard.Replicas, to)
	require.Equal(t, isValid, err == nil)
}

func (model *mapModel) handover(t *rapid.T) {
	shard := model.drawShard(t, "shard")
	err := tryApply(model.m, Change{Kind: Handover, Shard: shard.ID})
	require.Equal(t, shard.State == Preparing, err == nil)
	if err != nil {
		return
	}
	for bucket := shard.Start; bucket < shard.End; bucket++ {
		executors := slices.Clone(model.executors[bucket])
		executors[slices.Index(executors, shard.From)] = shard.To
		model.executors[bucket] = sorted(executors)
	}
}

func (model *mapModel) done(t *rapid.T) {
	shard := model.drawShard(t, "shard")
	err := tryApply(model.m, Change{Kind: Done, Shard: shard.ID})
	require.Equal(t, shard.State == HandingOver, err == nil)
}

func (model *mapModel) abort(t *rapid.T) {
	shard := model.drawShard(t, "shard")
	err := tryApply(model.m, Change{Kind: Abort, Shard: shard.ID})
	require.Equal(t, shard.State != Serving, err == nil)
	if err != nil || shard.State != HandingOver {
		return
	}
	for bucket := shard.Start; bucket < shard.End; bucket++ {
		model.executors[bucket] = sorted(shard.Replicas)
	}
}

func (model *mapModel) acquire(*rapid.T) {
	version := model.m.Acquire()
	model.acquired = append(model.acquired, acquiredVersion{version, describe(version)})
}

func (model *mapModel) release(t *rapid.T) {
	if len(model.acquired) == 0 {
		return
	}
	i := rapid.IntRange(0, len(model.acquired)-1).Draw(t, "i")
	model.m.Release(model.acquired[i].version)
	model.acquired = slices.Delete(model.acquired, i, i+1)
}

func (model *mapModel) snapshot(t *rapid.T) {
	snapshot := Snapshot{Epoch: model.m.Current().Epoch + 3, Buckets: modelBuckets}
	for shard := range model.m.Current().All {
		copied := *shard
		snapshot.Shards = append(snapshot.Shards, &copied)
	}
	retired, err := model.m.Reset(snapshot)
	require.NoError(t, err)
	require.Empty(t, retired)
}

// check compares the state of the map with the model.
func (model *mapModel) check(t *rapid.T) {
	model.checkShards(t)
	model.checkShardsInMotion(t)
	model.checkLineage(t)
	for _, acquired := range model.acquired {
		require.Equal(t, acquired.description, describe(acquired.version), "a version never changes")
	}
}

func (model *mapModel) checkShards(t *rapid.T) {
	m := model.m
	version := m.Current()
	nextBucket := 0
	groups := map[string]int{}
	for shard := range version.All {
		require.Equal(t, nextBucket, shard.Start)
		require.Same(t, shard, version.Shard(shard.ID))
		require.Same(t, shard, m.Shard(shard.ID))
		executors := sorted(shard.Executors())
		for nextBucket = shard.Start; nextBucket < shard.End; nextBucket++ {
			require.Equal(t, model.executors[nextBucket], executors)
			require.Same(t, shard, version.ShardAt(nextBucket))
		}
		key := fmt.Sprint(executors)
		group, isKnown := groups[key]
		require.True(t, !isKnown || group == m.Group(shard.ID), "shards with the same executors are in one group")
		groups[key] = m.Group(shard.ID)
		require.Len(t, m.Replicas(m.Group(shard.ID)), len(executors))
	}
	require.Equal(t, modelBuckets, nextBucket)
	require.Equal(t, version.Len(), len(m.shards))
	require.Equal(t, len(groups), m.Stats().Groups, "a group is deleted with its last shard")
}

func (model *mapModel) checkShardsInMotion(t *rapid.T) {
	inMotion := model.m.ShardsInMotion()
	for shard := range model.m.Current().All {
		require.Equal(t, shard.State != Serving, slices.Contains(inMotion, shard))
	}
	require.Equal(t, len(inMotion), model.m.Stats().ShardsInMotion)
}

// checkLineage checks, for every id that can be resolved, that its segments cover exactly its buckets.
func (model *mapModel) checkLineage(t *rapid.T) {
	for id := range model.nextID {
		buckets, err := model.m.Resolve(id)
		if err != nil {
			continue
		}
		segments := model.m.Current().Route(nil, id, buckets)
		coverage := NewCoverage(buckets, []Segment{{id, buckets}})
		require.NoError(t, coverage.Replace(buckets, segments))
	}
}

// describe formats all shards of a version.
func describe(version *Version) string {
	var text strings.Builder
	for shard := range version.All {
		fmt.Fprint(&text, shard.ID, shard.Range, shard.Replicas, shard.State, shard.From, shard.To, ";")
	}
	return text.String()
}
