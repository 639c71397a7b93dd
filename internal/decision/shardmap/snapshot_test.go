package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInvalidSnapshotsAreRejected(t *testing.T) {
	for name, test := range map[string]struct {
		corrupt func(*Snapshot)
		want    error
	}{
		"gap":                   {func(s *Snapshot) { s.Shards[1].Start++ }, ErrGap},
		"gap at the end":        {func(s *Snapshot) { s.Shards = s.Shards[:3] }, ErrGap},
		"overlap":               {func(s *Snapshot) { s.Shards[1].Start-- }, ErrOverlap},
		"unknown replica":       {func(s *Snapshot) { s.Shards[2].Replicas[0] = "z" }, ErrReplica},
		"no replica":            {func(s *Snapshot) { s.Shards[2].Replicas = nil }, ErrReplica},
		"repeated replica":      {func(s *Snapshot) { s.Shards[2].Replicas[0] = s.Shards[2].Replicas[1] }, ErrReplica},
		"epoch decreases":       {func(s *Snapshot) { s.Epoch = 4 }, ErrEpoch},
		"repeated id":           {func(s *Snapshot) { s.Shards[3].ID = 2 }, ErrShard},
		"id below 0":            {func(s *Snapshot) { s.Shards[3].ID = -2 }, ErrShard},
		"number of buckets":     {func(s *Snapshot) { s.Buckets++ }, ErrRange},
		"empty shard":           {func(s *Snapshot) { s.Shards[3].End = s.Shards[3].Start }, ErrRange},
		"retired shard":         {func(s *Snapshot) { s.Shards[3].State = Retired }, ErrState},
		"move without backends": {func(s *Snapshot) { s.Shards[3].State = Preparing }, ErrReplica},
		"id of other buckets": {func(s *Snapshot) {
			s.Shards[0].End = 5
			s.Shards[1].Start = 5
		}, ErrShard},
	} {
		t.Run(name, func(t *testing.T) {
			m := newRingMap(t, 4, 10)
			apply(t, m,
				Change{Kind: Move, Shard: 0, From: "b", To: "e"},
				Change{Kind: Handover},
				Change{Kind: Done},
				Change{Kind: Assign, Shard: 1, Replicas: []string{"a"}})
			before := m.Current()
			snapshot := ringSnapshot(9, 4, 10)
			snapshot.Backends = []string{"a", "b", "c", "d", "e"}
			test.corrupt(&snapshot)

			_, err := m.Reset(snapshot)
			require.ErrorIs(t, err, test.want)
			require.Same(t, before, m.Current())
			require.EqualValues(t, 1, m.Stats().Rejected)
		})
	}
}

func TestResetRetiresShardsMissingFromTheSnapshot(t *testing.T) {
	m := newRingMap(t, 4, 10)
	snapshot := ringSnapshot(3, 2, 20)
	for i, shard := range snapshot.Shards {
		shard.ID = 6 + i
	}
	snapshot.Shards[1].Since = 2
	snapshot.Retired = []RetiredShard{{ID: 4, Range: Range{0, 10}}}
	retired, err := m.Reset(snapshot)
	require.NoError(t, err)
	require.Equal(t, []ShardID{0, 1, 2, 3}, retired, "in the order of their buckets")
	require.EqualValues(t, 3, m.Shard(6).Since, "a shard without Since gets the epoch of the snapshot")
	require.EqualValues(t, 2, m.Shard(7).Since)
	for id, buckets := range map[ShardID]Range{3: {30, 40}, 4: {0, 10}, 7: {20, 40}} {
		resolved, err := m.Resolve(id)
		require.NoError(t, err)
		require.Equal(t, buckets, resolved)
	}

	before := m.Current()
	retired, err = m.Reset(ringSnapshot(3, 9, 1))
	require.NoError(t, err, "a snapshot of the epoch in use is ignored, whatever its content")
	require.Empty(t, retired)
	require.Same(t, before, m.Current())

	_, err = m.Reset(ringSnapshot(4, 4, 10))
	require.ErrorIs(t, err, ErrShard, "ids are never reused")
	snapshot = ringSnapshot(4, 1, 40)
	snapshot.Shards[0].ID = 8
	snapshot.Retired = []RetiredShard{{ID: 8, Range: Range{0, 10}}}
	_, err = m.Reset(snapshot)
	require.ErrorIs(t, err, ErrRange, "a shard cannot be both retired and in use")
}
