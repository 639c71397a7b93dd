package slicemap

import (
	"errors"
	"flag"
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// CI must say the same every time; -rapid.seed=0 on the command line draws new histories.
func init() { _ = flag.Set("rapid.seed", "20261201") }

// number is a node's number for tests: its hash.
func number(node string) (uint32, bool) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node))
	return h.Sum32(), true
}

// whole is a map of n slices of so many districts each, on three of the nodes a to e in a ring.
func whole(epoch uint64, n, size int) Snapshot {
	w := Snapshot{Epoch: epoch, Buckets: n * size}
	for i := range n {
		s := &Shard{ID: i, Range: Range{i * size, (i + 1) * size}}
		for j := range 3 {
			s.Replicas = append(s.Replicas, string(rune('a'+(i+j)%5)))
		}
		w.Shards = append(w.Shards, s)
	}
	return w
}

func started(t require.TestingT, n, size int) *Map {
	m := New(Options{ReplicaNumber: number})
	_, err := m.Reset(whole(1, n, size))
	require.NoError(t, err)
	return m
}

// step is a change onto the map in use.
func step(m *Map, c Change) Change {
	c.Base, c.Epoch = m.Current().Epoch, m.Current().Epoch+1
	return c
}

func apply(t require.TestingT, m *Map, c Change) []ShardID {
	retired, err := m.Apply([]Change{step(m, c)}, nil)
	require.NoError(t, err)
	return retired
}

func TestLifeOfAMove(t *testing.T) {
	m := started(t, 4, 10)
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Executors())
	apply(t, m, Change{Kind: Move, Shard: 0, From: "b", To: "e"})
	s := m.Current().Shard(0)
	require.True(t, s.Executes("b") && !s.Executes("e"), "while it is copied the source executes")
	apply(t, m, Change{Kind: Handover, Shard: 0})
	s = m.Current().Shard(0)
	require.True(t, !s.Executes("b") && s.Executes("e"), "from the handover on it is the destination")
	require.Equal(t, []string{"a", "e", "c"}, s.Executors())
	apply(t, m, Change{Kind: Abort, Shard: 0})
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Executors(), "an abort goes back to the source")
	for _, k := range []Change{{Kind: Move, From: "b", To: "e"}, {Kind: Handover}, {Kind: Done}} {
		apply(t, m, k)
	}
	require.Equal(t, []string{"a", "e", "c"}, m.Current().Shard(0).Replicas)
	// And back again: A to B and back to A.
	for _, k := range []Change{{Kind: Move, From: "e", To: "b"}, {Kind: Handover}, {Kind: Done}} {
		apply(t, m, k)
	}
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(0).Replicas)
}

func TestSplitOfASliceThatMoves(t *testing.T) {
	m := started(t, 4, 10)
	apply(t, m, Change{Kind: Move, Shard: 0, From: "b", To: "e"})
	require.Equal(t, []ShardID{0}, apply(t, m, Change{Kind: Split, Shard: 0, At: 4, Into: []ShardID{4, 5}}))
	for _, id := range []ShardID{4, 5} {
		s := m.Current().Shard(id)
		require.Equal(t, Preparing, s.State, "the move goes on for both halves")
		require.Equal(t, []ShardID{0}, s.Parents)
	}
	_, err := m.Apply([]Change{step(m, Change{Kind: Merge, Shard: 4, Other: 5, Into: []ShardID{6}})}, nil)
	require.ErrorIs(t, err, ErrState, "halves that move cannot be merged")
	apply(t, m, Change{Kind: Handover, Shard: 4})
	apply(t, m, Change{Kind: Abort, Shard: 5})
	require.Equal(t, []string{"a", "e", "c"}, m.Current().Shard(4).Executors())
	require.Equal(t, []string{"a", "b", "c"}, m.Current().Shard(5).Executors())
	r, err := m.Resolve(0)
	require.NoError(t, err, "the old name is understood")
	require.Equal(t, []Segment{{4, Range{0, 4}}, {5, Range{4, 10}}}, m.Current().Route(nil, 0, r))
}

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
			require.EqualValues(t, 1, m.Stats().Refused)
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

func TestVersionsAreFreedAndBounded(t *testing.T) {
	m := New(Options{MaxVersions: 4, MaxRetired: 2})
	_, err := m.Reset(whole(1, 4, 100))
	require.NoError(t, err)
	first := m.Acquire()
	again := m.Acquire()
	for i := range 3 {
		apply(t, m, Change{Kind: Split, Shard: m.Current().At(0).ID, At: 50 >> i, Into: []ShardID{4 + 2*i, 5 + 2*i}})
	}
	require.Equal(t, 2, m.Stats().Kept, "versions that nobody began on are freed at once")
	m.Release(first)
	require.Equal(t, 2, m.Stats().Kept)
	m.Release(again)
	require.Equal(t, 1, m.Stats().Kept)
	var held []*Version
	for i := range 8 {
		held = append(held, m.Acquire())
		apply(t, m, Change{Kind: Assign, Shard: 1, Replicas: []string{fmt.Sprint(i)}})
	}
	require.Equal(t, 4, m.Stats().Kept)
	require.EqualValues(t, 5, m.Stats().LetGo)
	for _, v := range held {
		m.Release(v)
	}
	require.Equal(t, 1, m.Stats().Kept)
	_, err = m.Resolve(0)
	require.ErrorIs(t, err, ErrStale, "the third to be retired pushed the first out")
	_, err = m.Resolve(6)
	require.NoError(t, err)
}

func TestAfterMoved(t *testing.T) {
	m := started(t, 4, 10)
	for range 3 {
		apply(t, m, Change{Kind: Assign, Shard: 1, Replicas: []string{"a", "b", "c"}})
	}
	one, other := Segment{1, Range{10, 20}}, Segment{2, Range{20, 30}}
	require.EqualValues(t, 4, m.RoutingEpoch(one))
	require.EqualValues(t, 1, m.RoutingEpoch(other), "news of other slices is none of this one")
	require.Equal(t, RetryWait{ReadEpoch: 8}, m.OnNotHolder(one, 4, 8, 1), "we are late, and others hold it too")
	require.Equal(t, RetryWait{Delay: lateMost, UntilEpoch: 8, ReadEpoch: 8}, m.OnNotHolder(one, 4, 8, 3), "they have been asked")
	require.Equal(t, RetryWait{}, m.OnNotHolder(one, 4, 3, 2), "the node is late, others may know")
	require.Equal(t, RetryWait{Delay: pauseLate}, m.OnNotHolder(one, 4, 3, 3))
	require.Equal(t, RetryWait{}, m.OnNotHolder(one, 3, 8, 1), "the leg is old")
	require.Equal(t, RetryWait{Delay: 4 * pauseLate}, m.OnNotHolder(other, 1, 4, 5), "pauses grow")
	require.Equal(t, RetryWait{Delay: pauseMost}, m.OnNotHolder(other, 1, 4, 99), "and are bounded")
	l := Segment{0, Range{2, 8}}
	_, v := m.Reroute(nil, l, true, true)
	require.Equal(t, NeverRetry, v)
	_, v = m.Reroute(nil, l, true, false)
	require.Equal(t, KeepShard, v)
	apply(t, m, Change{Kind: Split, Shard: 0, At: 5, Into: []ShardID{4, 5}})
	_, v = m.Reroute(nil, l, true, true)
	require.Equal(t, NeverRetry, v, "a split does not make it known not to have run")
	legs, v := m.Reroute(nil, l, true, false)
	require.Equal(t, ReplaceSegments, v)
	require.Equal(t, []Segment{{4, Range{2, 5}}, {5, Range{5, 8}}}, legs)
}

func TestUnitCountsNoDistrictTwice(t *testing.T) {
	u := NewCoverage(Range{0, 10}, []Segment{{0, Range{0, 10}}})
	require.NoError(t, u.Replace(Range{0, 10}, []Segment{{4, Range{0, 4}}, {5, Range{4, 10}}}))
	require.Error(t, u.Replace(Range{0, 10}, nil))
	whole, err := u.Arrived(Range{0, 4})
	require.True(t, err == nil && !whole, "half of a part is not in")
	_, err = u.Arrived(Range{0, 4})
	require.Error(t, err, "the same districts twice")
	_, err = u.Arrived(Range{0, 10})
	require.Error(t, err, "an old and a new holder both answer")
	require.Error(t, u.Replace(Range{4, 10}, []Segment{{6, Range{4, 7}}, {7, Range{8, 10}}}), "a hole")
	whole, err = u.Arrived(Range{4, 10})
	require.True(t, err == nil && whole && u.Complete())
}

// TestAgainstModel draws histories of changes, good and bad, and holds the map against a table of districts.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := started(t, 4, 16)
		nodes := []string{"a", "b", "c", "d", "e"}
		executor := make([][]string, 64) // by district: the model's own
		for i := range executor {
			executor[i] = slices.Sorted(slices.Values(m.Current().At(i).Replicas))
		}
		next := 4
		type snapshot struct {
			v    *Version
			text string
		}
		var held []snapshot
		text := func(v *Version) (out string) {
			v.All(func(s *Shard) bool {
				out += fmt.Sprint(s.ID, s.Range, s.Replicas, s.State, s.From, s.To, ";")
				return true
			})
			return out
		}
		one := func(label string) *Shard { return m.Current().At(rapid.IntRange(0, 63).Draw(t, label)) }
		t.Repeat(map[string]func(*rapid.T){
			"split": func(t *rapid.T) {
				s, at := one("d"), rapid.IntRange(0, 63).Draw(t, "at")
				_, err := m.Apply([]Change{step(m, Change{Kind: Split, Shard: s.ID, At: at, Into: []ShardID{next, next + 1}})}, nil)
				require.Equal(t, at > s.Start && at < s.End, err == nil)
				next += 2
			},
			"merge": func(t *rapid.T) {
				a, b := one("a"), one("b")
				_, err := m.Apply([]Change{step(m, Change{Kind: Merge, Shard: a.ID, Other: b.ID, Into: []ShardID{next}})}, nil)
				same := slices.Equal(executor[a.Start], executor[b.Start])
				require.Equal(t, (a.End == b.Start || b.End == a.Start) && a.State == Serving && b.State == Serving && same, err == nil)
				next++
			},
			"move": func(t *rapid.T) {
				s := one("d")
				from, to := rapid.SampledFrom(nodes).Draw(t, "from"), rapid.SampledFrom(nodes).Draw(t, "to")
				_, err := m.Apply([]Change{step(m, Change{Kind: Move, Shard: s.ID, From: from, To: to})}, nodes)
				require.Equal(t, s.State == Serving && slices.Contains(s.Replicas, from) && !slices.Contains(s.Replicas, to), err == nil)
			},
			"handover": func(t *rapid.T) {
				s := one("d")
				_, err := m.Apply([]Change{step(m, Change{Kind: Handover, Shard: s.ID})}, nil)
				if require.Equal(t, s.State == Preparing, err == nil); err == nil {
					for d := s.Start; d < s.End; d++ {
						x := slices.Clone(executor[d])
						x[slices.Index(x, s.From)] = s.To
						executor[d] = slices.Sorted(slices.Values(x))
					}
				}
			},
			"done": func(t *rapid.T) {
				s := one("d")
				_, err := m.Apply([]Change{step(m, Change{Kind: Done, Shard: s.ID})}, nil)
				require.Equal(t, s.State == HandingOver, err == nil)
			},
			"abort": func(t *rapid.T) {
				s := one("d")
				_, err := m.Apply([]Change{step(m, Change{Kind: Abort, Shard: s.ID})}, nil)
				require.Equal(t, s.State != Serving, err == nil)
				for d := s.Start; err == nil && s.State == HandingOver && d < s.End; d++ {
					executor[d] = slices.Sorted(slices.Values(s.Replicas))
				}
			},
			"hold": func(t *rapid.T) {
				v := m.Acquire()
				held = append(held, snapshot{v, text(v)})
			},
			"free": func(t *rapid.T) {
				if len(held) > 0 {
					i := rapid.IntRange(0, len(held)-1).Draw(t, "i")
					m.Release(held[i].v)
					held = slices.Delete(held, i, i+1)
				}
			},
			"whole": func(t *rapid.T) {
				w := Snapshot{Epoch: m.Current().Epoch + 3, Buckets: 64}
				m.Current().All(func(s *Shard) bool { c := *s; w.Shards = append(w.Shards, &c); return true })
				retired, err := m.Reset(w)
				require.NoError(t, err)
				require.Empty(t, retired)
			},
			"": func(t *rapid.T) {
				v, at, groups := m.Current(), 0, map[string]int{}
				v.All(func(s *Shard) bool {
					require.Equal(t, at, s.Start)
					require.Same(t, s, v.Shard(s.ID))
					require.Same(t, s, m.Shard(s.ID))
					names := slices.Sorted(slices.Values(s.Executors()))
					for at = s.Start; at < s.End; at++ {
						require.Equal(t, executor[at], names)
						require.Same(t, s, v.At(at))
					}
					g, known := groups[fmt.Sprint(names)]
					require.True(t, !known || g == m.Group(s.ID), "one group for one set of holders")
					groups[fmt.Sprint(names)] = m.Group(s.ID)
					require.Len(t, m.Replicas(m.Group(s.ID)), len(names))
					return true
				})
				require.Equal(t, 64, at)
				require.Equal(t, v.Len(), len(m.now))
				moving := m.Moving()
				v.All(func(s *Shard) bool {
					require.Equal(t, s.State != Serving, slices.Contains(moving, s))
					return true
				})
				require.Equal(t, len(moving), m.Stats().Moving)
				require.Equal(t, len(groups), m.Stats().Groups, "no group is left behind")
				for id := range next {
					if r, err := m.Resolve(id); err == nil {
						legs := v.Route(nil, id, r)
						require.NoError(t, NewCoverage(r, []Segment{{id, r}}).Replace(r, legs))
					}
				}
				for _, h := range held {
					require.Equal(t, h.text, text(h.v), "a version never changes")
				}
			},
		})
	})
}

func big(b *testing.B, n int) *Map {
	m := started(b, n, 8)
	b.ReportAllocs()
	b.ResetTimer()
	return m
}

func BenchmarkRoute100000(b *testing.B) {
	m, legs := big(b, 100_000), make([]Segment, 0, 4)
	for i := range b.N {
		id := i * 7919 % 100_000
		if legs = m.Route(legs[:0], id, Range{id * 8, id*8 + 8}); len(legs) != 1 {
			b.Fatal(legs)
		}
	}
}

func BenchmarkSplit100000(b *testing.B) {
	m := big(b, 100_000)
	for i := range b.N {
		id := i % 100_000
		if i > 0 && id == 0 {
			b.StopTimer()
			m = started(b, 100_000, 8)
			b.StartTimer()
		}
		s := m.Current().Shard(id)
		n := 100_000 + 2*id
		if _, err := m.Apply([]Change{step(m, Change{Kind: Split, Shard: id, At: s.Start + 4, Into: []ShardID{n, n + 1}})}, nil); err != nil {
			b.Fatal(err)
		}
	}
}

func TestPace(t *testing.T) {
	p := HandoverPacer{MaxConcurrent: 2, InitialCapacity: 0.2, WarmupMs: 1000}
	require.True(t, p.MayHandOver(5000, HandoverTarget{Buckets: 900}, 100, 100), "a warm node is no matter of pace")
	require.False(t, p.MayHandOver(5000, HandoverTarget{HandoversInProgress: 2}, 1, 100), "two at a time")
	require.False(t, p.MayHandOver(5000, HandoverTarget{Started: 5000, Buckets: 15}, 10, 100), "a cold one takes its share of capacity")
	require.True(t, p.MayHandOver(5000, HandoverTarget{Started: 5000, Buckets: 10}, 10, 100))
	require.True(t, p.MayHandOver(5500, HandoverTarget{Started: 5000, Buckets: 45}, 10, 100), "and more as it warms up")
	require.True(t, p.MayHandOver(6000, HandoverTarget{Started: 5000, Buckets: 500}, 10, 100))
}
