package slicemap

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRefusedMapsChangeNothing(t *testing.T) {
	bad := func(f func(w *Snapshot)) Snapshot {
		w := whole(9, 4, 10)
		w.Backends = []string{"a", "b", "c", "d", "e"}
		f(&w)
		return w
	}
	for name, c := range map[string]struct {
		w   Snapshot
		err error
	}{
		"hole":            {bad(func(w *Snapshot) { w.Shards[1].Start++ }), ErrGap},
		"hole at the end": {bad(func(w *Snapshot) { w.Shards = w.Shards[:3] }), ErrGap},
		"overlap":         {bad(func(w *Snapshot) { w.Shards[1].Start-- }), ErrOverlap},
		"unknown holder":  {bad(func(w *Snapshot) { w.Shards[2].Replicas[0] = "z" }), ErrReplica},
		"no holder":       {bad(func(w *Snapshot) { w.Shards[2].Replicas = nil }), ErrReplica},
		"holder twice":    {bad(func(w *Snapshot) { w.Shards[2].Replicas[0] = w.Shards[2].Replicas[1] }), ErrReplica},
		"epoch back":      {bad(func(w *Snapshot) { w.Epoch = 4 }), ErrEpoch},
		"id twice":        {bad(func(w *Snapshot) { w.Shards[3].ID = 2 }), ErrShard},
		"id below 0":      {bad(func(w *Snapshot) { w.Shards[3].ID = -2 }), ErrShard},
		"other districts": {bad(func(w *Snapshot) { w.Buckets++ }), ErrRange},
		"empty slice":     {bad(func(w *Snapshot) { w.Shards[3].End = w.Shards[3].Start }), ErrRange},
		"retired":         {bad(func(w *Snapshot) { w.Shards[3].State = Retired }), ErrState},
		"move to nobody":  {bad(func(w *Snapshot) { w.Shards[3].State = Preparing }), ErrReplica},
		"reused id": {bad(func(w *Snapshot) {
			w.Shards[0].ID, w.Shards[0].End, w.Shards[1].Start = 0, 5, 5 // the same id, other districts
		}), ErrShard},
	} {
		t.Run(name, func(t *testing.T) {
			m := started(t, 4, 10)
			for _, k := range []Change{{Kind: Move, Shard: 0, From: "b", To: "e"}, {Kind: Handover}, {Kind: Done},
				{Kind: Assign, Shard: 1, Replicas: []string{"a"}}} {
				apply(t, m, k)
			}
			was := m.Current()
			_, err := m.Reset(c.w)
			require.ErrorIs(t, err, c.err)
			require.Same(t, was, m.Current())
			require.EqualValues(t, 1, m.Stats().Rejected)
		})
	}
	m := started(t, 4, 10)
	for name, c := range map[string]struct {
		c   Change
		err error
	}{
		"other base":    {Change{Base: 7, Epoch: 8, Kind: Handover}, ErrBase},
		"epoch back":    {Change{Base: 1, Epoch: 1, Kind: Handover}, nil}, // told twice
		"unknown slice": {Change{Base: 1, Epoch: 2, Kind: Handover, Shard: 99}, ErrShard},
		"not moving":    {Change{Base: 1, Epoch: 2, Kind: Handover}, ErrState},
		"split outside": {Change{Base: 1, Epoch: 2, Kind: Split, At: 10, Into: []ShardID{4, 5}}, ErrRange},
		"split reuses":  {Change{Base: 1, Epoch: 2, Kind: Split, At: 5, Into: []ShardID{3, 5}}, ErrShard},
		"far merge":     {Change{Base: 1, Epoch: 2, Kind: Merge, Other: 2, Into: []ShardID{4}}, ErrRange},
		"other holders": {Change{Base: 1, Epoch: 2, Kind: Merge, Other: 1, Into: []ShardID{4}}, ErrReplica},
		"to a holder":   {Change{Base: 1, Epoch: 2, Kind: Move, From: "a", To: "b"}, ErrReplica},
		"from a fourth": {Change{Base: 1, Epoch: 2, Kind: Move, From: "d", To: "e"}, ErrReplica},
	} {
		was := m.Current()
		_, err := m.Apply([]Change{c.c}, nil)
		require.ErrorIs(t, err, c.err, name)
		require.Same(t, was, m.Current(), name)
	}
	// All or none: the second is at fault, the first is not made either.
	was := m.Current()
	_, err := m.Apply([]Change{{Base: 1, Epoch: 2, Kind: Split, At: 5, Into: []ShardID{4, 5}},
		{Base: 2, Epoch: 3, Kind: Split, At: 5, Into: []ShardID{6, 7}}}, nil)
	var f *ValidationError
	require.True(t, errors.As(err, &f) && f.Shard == 0 && errors.Is(err, ErrShard), err)
	require.Same(t, was, m.Current())
}
