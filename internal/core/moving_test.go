package core

import (
	"errors"
	"fmt"
	"hash/fnv"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// rig is a broker of one core whose back end, list, clock and log are the test's.
type rig struct {
	t     *testing.T
	m     *slicemap.Map
	c     *Core
	now   float64
	wake  float64
	sent  []*Attempt // out, in the order in which they went
	every []*Attempt
	hints []uint64
	lines []string
	n     int
}

func (r *rig) Now() float64                  { return r.now }
func (r *rig) WakeAt(at float64)             { r.wake = min(r.wake, at) }
func (r *rig) SchedulerLine(text string)     { r.lines = append(r.lines, text) }
func (r *rig) RequestEnded(*Request, Answer) {}
func (r *rig) Watch()                        {}
func (r *rig) Send(a *Attempt)               { r.sent, r.every = append(r.sent, a), append(r.every, a) }
func (r *rig) Flush()                        {}
func (r *rig) CloseIdleConnections(uint32)   {}
func (r *rig) Withdraw(*Attempt) bool        { return false }
func (r *rig) Abandon(a *Attempt) (ran bool) { r.take(a); return false }

func (r *rig) take(a *Attempt) {
	for i, x := range r.sent {
		if x == a {
			r.sent = append(r.sent[:i], r.sent[i+1:]...)
			return
		}
	}
}

const (
	bind    = 0
	compare = 1
)

func numberOf(node string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node))
	return h.Sum32()
}

// newRig has 8 slices of 10 districts, each on two of the nodes a to d in a ring.
func newRig(t *testing.T) *rig {
	r := &rig{t: t, now: 1e6, wake: 1e12}
	r.m = slicemap.New(slicemap.Options{MaxVersions: 8, ReplicaNumber: func(n string) (uint32, bool) { return numberOf(n), true }})
	s := scheduler.Settings{BrokerCount: 1, TimerResolution: 5, Shards: 8, Cells: 4, CellsPerShard: 2, Placement: r.m, MaxPartsPerCall: 1, CanCancel: true,
		MaxAttempts: 4, MaxRetryAfter: 1000, DrainGrace: 1000, Classes: []scheduler.Class{
			{LatencyObjective: 1000, Deadline: 2000, PriorityWeight: 2, LateFactor: 0.5, Idempotency: scheduler.NonIdempotent, MinCompleteness: 1, CompletenessTarget: 1},
			{LatencyObjective: 1000, Deadline: 2000, PriorityWeight: 3, LateFactor: 0.5, MinCompleteness: 0.7, CompletenessTarget: 1, PartialFactor: 0.9}}}
	var err error
	r.c, err = New(s, 7, Options{Clock: r, Log: r, ShardMap: r.m})
	require.NoError(t, err)
	r.c.Attach(r, r)
	r.c.OnNewerMap(func(e uint64) { r.hints = append(r.hints, e) })
	var es []scheduler.Endpoint
	for i, n := range []string{"a", "b", "c", "d"} {
		es = append(es, scheduler.Endpoint{Replica: numberOf(n), Cell: i, State: scheduler.Ready})
	}
	r.c.EndpointsChanged(scheduler.UpdateFull, es)
	w := slicemap.Snapshot{Epoch: 1, Buckets: 80}
	for i := range 8 {
		w.Shards = append(w.Shards, &slicemap.Shard{ID: i, Range: slicemap.Range{Start: 10 * i, End: 10*i + 10},
			Replicas: []string{string(rune('a' + i%4)), string(rune('a' + (i+1)%4))}})
	}
	require.NoError(t, r.c.ApplySnapshot(w))
	r.turns(1)
	return r
}

// turns lets so many ms pass, with a turn each.
func (r *rig) turns(ms int) {
	for range ms {
		r.now++
		r.c.RunRound()
	}
}

type ends struct{ got []Answer }

func (e *ends) Finish(a Answer) { e.got = append(e.got, a) }

func (r *rig) ask(class int, epoch uint64, shards ...int) *ends {
	e := &ends{}
	r.n++
	q := &Request{ID: fmt.Sprint("q", r.n), Class: class, Deadline: r.now + 2000, Epoch: epoch, Client: e}
	for _, s := range shards {
		q.Parts = append(q.Parts, Part{Shard: s, Weight: 1 / float64(len(shards)), CostHint: 10, HasCostHint: true})
	}
	require.NoError(r.t, r.c.Submit(q))
	r.turns(1)
	return e
}

func (r *rig) change(c slicemap.Change) {
	c.Base, c.Epoch = r.c.Epoch(), r.c.Epoch()+1
	require.NoError(r.t, r.c.ApplyChanges([]slicemap.Change{c}, nil))
	r.turns(1)
}

// move moves a slice to another node, to the end.
func (r *rig) move(id int, from, to string) {
	r.change(slicemap.Change{Kind: slicemap.Move, Shard: id, From: from, To: to})
	r.change(slicemap.Change{Kind: slicemap.Handover, Shard: id})
	r.change(slicemap.Change{Kind: slicemap.Done, Shard: id})
}

func (r *rig) end(a *Attempt, o scheduler.Outcome) {
	r.take(a)
	r.c.AttemptEnded(a, o, []byte(fmt.Sprint(a.Buckets)))
	r.turns(1)
}

func nodeOf(a *Attempt) string {
	for _, n := range []string{"a", "b", "c", "d"} {
		if numberOf(n) == a.Backend {
			return n
		}
	}
	return "?"
}

func (r *rig) one(e *ends) Answer {
	require.Len(r.t, e.got, 1)
	return e.got[0]
}

// A bind part is out when its slice moves: the old holder's answer is good, nothing else goes out meanwhile, and only
// what is proved never to have run goes to the new holder.
func TestBindPartIsOutWhenItsSliceMoves(t *testing.T) {
	for name, c := range map[string]struct {
		o    scheduler.Outcome
		tell func(*Attempt)
		kind AnswerKind
		more bool
	}{
		"the old holder answers":    {o: scheduler.Succeeded, kind: Answered},
		"it fails":                  {o: scheduler.Failed, kind: Failed},
		"its connection resets":     {o: scheduler.ConnectionReset, kind: Failed},
		"moved":                     {o: scheduler.NotHolder, more: true},
		"busy":                      {o: scheduler.Rejected, more: true},
		"the connection is refused": {o: scheduler.ConnectFailed, more: true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			e := r.ask(bind, 1, 0)
			require.Len(t, r.sent, 1)
			first := r.sent[0]
			old := nodeOf(first)
			r.move(0, old, "d")
			r.turns(50)
			require.Len(t, r.every, 1, "nothing else goes out while it is")
			first.BackendEpoch = 4
			r.end(first, c.o)
			r.turns(200)
			if !c.more {
				require.Equal(t, c.kind, r.one(e).Kind)
				require.Len(t, r.every, 1)
				return
			}
			require.Len(t, r.every, 2)
			require.NotEqual(t, old, nodeOf(r.every[1]), "by the map of now it is another's")
			require.EqualValues(t, 4, r.every[1].Epoch)
			r.end(r.every[1], scheduler.Succeeded)
			require.Equal(t, Answered, r.one(e).Kind)
		})
	}
	t.Run("time-out", func(t *testing.T) {
		r := newRig(t)
		e := r.ask(bind, 1, 0)
		r.move(0, nodeOf(r.sent[0]), "d")
		r.turns(2100)
		require.Equal(t, Failed, r.one(e).Kind)
		require.Len(t, r.every, 1, "a time-out at the old holder is not followed by a try at the new one")
	})
	t.Run("split", func(t *testing.T) {
		r := newRig(t)
		e := r.ask(bind, 1, 0)
		r.change(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
		r.end(r.sent[0], scheduler.ConnectionReset)
		r.turns(200)
		require.Equal(t, Failed, r.one(e).Kind)
		require.Len(t, r.every, 1)
	})
}

// A part whose slice was split goes on as two, which count only together.
func TestHalfOfASplitPartCountsForNothing(t *testing.T) {
	r := newRig(t)
	e := r.ask(compare, 1, 0, 1, 2, 3)
	require.Len(t, r.sent, 4)
	first := r.sent[0]
	require.Equal(t, 0, first.Shard)
	r.change(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	r.end(first, scheduler.Failed)
	r.turns(50)
	require.Len(t, r.every, 6)
	halves := r.every[4:]
	require.Equal(t, []slicemap.Range{{Start: 0, End: 4}, {Start: 4, End: 10}},
		[]slicemap.Range{halves[0].Buckets, halves[1].Buckets})
	require.EqualValues(t, 1, r.c.ReshardingStats().Split)
	for _, a := range append([]*Attempt(nil), r.sent...) {
		if a != halves[1] {
			r.end(a, scheduler.Succeeded)
		}
	}
	require.Empty(t, e.got, "three parts and a half are not whole")
	r.turns(2100)
	a := r.one(e)
	require.Equal(t, Answered, a.Kind)
	require.False(t, a.Complete)
	require.Len(t, a.Values, 3)
	for _, v := range a.Values {
		require.NotEqual(t, 0, v.Shard, "half a part does not stand in the answer")
	}
}

func TestBothHalvesMakeThePart(t *testing.T) {
	r := newRig(t)
	e := r.ask(compare, 1, 0, 1)
	first := r.sent[0]
	r.change(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	r.end(first, scheduler.Failed)
	r.turns(50)
	for len(r.sent) > 0 {
		r.end(r.sent[0], scheduler.Succeeded)
	}
	a := r.one(e)
	require.True(t, a.Complete)
	require.EqualValues(t, 1, a.Epoch, "it is told by which map it began")
	require.Equal(t, []Value{{0, slicemap.Range{Start: 0, End: 4}, []byte("0-4")},
		{0, slicemap.Range{Start: 4, End: 10}, []byte("4-10")}, {1, slicemap.Range{Start: 10, End: 20}, []byte("10-20")}}, a.Values)
	require.Equal(t, 1, r.m.Stats().Kept, "its version is freed")
	require.Empty(t, r.c.partsByShard)
	require.Empty(t, r.c.inFlight)
}

// A merged slice answers for two parts: each asks for its own districts, so none counts twice.
func TestMergedSliceAnswersForTwoParts(t *testing.T) {
	r := newRig(t)
	r.change(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	e := r.ask(compare, 2, 8, 9)
	require.Len(t, r.sent, 2)
	r.change(slicemap.Change{Kind: slicemap.Merge, Shard: 8, Other: 9, Into: []int{10}})
	old := append([]*Attempt(nil), r.sent...)
	r.end(old[0], scheduler.Failed)
	r.turns(50)
	again := r.every[2]
	require.Equal(t, 10, again.Shard)
	require.Equal(t, slicemap.Range{Start: 0, End: 4}, again.Buckets)
	r.end(old[1], scheduler.Succeeded) // the old name's holder answers after the merge: good
	r.end(again, scheduler.Succeeded)
	a := r.one(e)
	require.True(t, a.Complete)
	require.Len(t, a.Values, 2)
	require.Zero(t, r.c.ReshardingStats().Duplicates)
}

// A slice goes from A to B and back to A while an answer from A's first time is out: that answer counts, once.
func TestThereAndBackWhileAnAnswerIsOut(t *testing.T) {
	r := newRig(t)
	e := r.ask(bind, 1, 0)
	first := r.sent[0]
	old := nodeOf(first)
	r.move(0, old, "d")
	r.move(0, "d", old)
	r.change(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	r.end(first, scheduler.Succeeded)
	require.Equal(t, Answered, r.one(e).Kind)
	require.Len(t, r.every, 1)
}

// What the client named at an older epoch is translated; what cannot be is turned away at once with the epoch in use;
// what is newer than our map is refused, with advice, and the map is read.
func TestNamesOfOtherEpochs(t *testing.T) {
	r := newRig(t)
	r.change(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	e := r.ask(compare, 1, 0, 1)
	require.Len(t, r.sent, 3, "one part, two calls")
	for len(r.sent) > 0 {
		r.end(r.sent[0], scheduler.Succeeded)
	}
	require.True(t, r.one(e).Complete)

	q := &Request{ID: "old", Class: compare, Deadline: r.now + 2000, Epoch: 1, Client: &ends{},
		Parts: []Part{{Shard: 77, Weight: 1}}}
	err := r.c.Submit(q)
	var stale *StaleEpochError
	require.True(t, errors.As(err, &stale) && errors.Is(err, ErrInvalidRequest), err)
	require.EqualValues(t, 2, stale.Epoch)

	q = &Request{ID: "twice", Class: compare, Deadline: r.now + 2000, Client: &ends{},
		Parts: []Part{{Shard: 0, Weight: 0.5}, {Shard: 9, Weight: 0.5}}}
	require.ErrorIs(t, r.c.Submit(q), ErrInvalidRequest, "names of two epochs that mean the same districts")

	e = r.ask(compare, 9, 77)
	a := r.one(e)
	require.Equal(t, Rejected, a.Kind)
	require.Equal(t, behindRetryAfterMs, a.RetryAfter)
	require.Equal(t, []uint64{9}, r.hints)
}

// A node knows a newer map: one read is asked for, the other holder is tried at once, and when all have said so the
// part waits for that epoch and no longer.
func TestPartWaitsForTheEpochThatANodeToldOf(t *testing.T) {
	r := newRig(t)
	e := r.ask(bind, 1, 0)
	for i := range 2 {
		require.Len(t, r.every, i+1)
		a := r.every[i]
		a.BackendEpoch = 4
		r.end(a, scheduler.NotHolder)
		r.turns(20)
	}
	require.NotEqual(t, r.every[0].Backend, r.every[1].Backend)
	require.Len(t, r.every, 2, "both holders were asked: it waits")
	require.Equal(t, []uint64{4, 4}, r.hints)
	r.move(0, "a", "c")
	r.move(0, "b", "d")
	r.turns(20)
	require.Len(t, r.every, 3, "the map has come: it waits no more")
	require.Contains(t, []string{"c", "d"}, nodeOf(r.every[2]))
	r.end(r.every[2], scheduler.Succeeded)
	require.Equal(t, Answered, r.one(e).Kind)
}

// The catalogue was away; then 200 changes come in one answer while queries are held.
func TestManyChangesAtOnce(t *testing.T) {
	r := newRig(t)
	e := r.ask(compare, 1, 0, 1, 2, 3)
	var cs []slicemap.Change
	epoch, next := r.c.Epoch(), 8
	add := func(c slicemap.Change) {
		c.Base, c.Epoch = epoch, epoch+1
		epoch++
		cs = append(cs, c)
	}
	for range 25 {
		id := 0 // district 0's slice, split and merged over and over
		if next > 8 {
			id = next - 1
		}
		add(slicemap.Change{Kind: slicemap.Split, Shard: id, At: 3, Into: []int{next, next + 1}})
		add(slicemap.Change{Kind: slicemap.Move, Shard: next, From: "a", To: "d"})
		add(slicemap.Change{Kind: slicemap.Handover, Shard: next})
		add(slicemap.Change{Kind: slicemap.Abort, Shard: next})
		add(slicemap.Change{Kind: slicemap.Merge, Shard: next, Other: next + 1, Into: []int{next + 2}})
		for _, k := range []slicemap.Change{{Kind: slicemap.Move, From: "b", To: "d"}, {Kind: slicemap.Handover},
			{Kind: slicemap.Abort}} {
			k.Shard = 1
			add(k)
		}
		next += 3
	}
	require.Len(t, cs, 200)
	require.NoError(t, r.c.ApplyChanges(cs, nil))
	require.Error(t, r.c.ApplyChanges([]slicemap.Change{{Base: 7, Epoch: epoch + 9, Kind: slicemap.Handover}}, nil))
	r.end(r.sent[0], scheduler.Failed)
	r.turns(50)
	for len(r.sent) > 0 {
		r.end(r.sent[0], scheduler.Succeeded)
	}
	a := r.one(e)
	require.True(t, a.Complete)
	require.Len(t, a.Values, 4)
	require.Equal(t, next-1, r.every[4].Shard, "the last slice of that name's districts")
}

// Versions beyond the bound are let go, which is logged, and the queries that began on them are answered all the same.
func TestVersionsAtTheirBound(t *testing.T) {
	r := newRig(t)
	var all []*ends
	for i := range 12 {
		all = append(all, r.ask(compare, 0, i%8))
		r.change(slicemap.Change{Kind: slicemap.Assign, Shard: 7, Replicas: []string{"a", "b", "c", "d"}[i%4 : i%4+1]})
	}
	require.Equal(t, 8, r.m.Stats().Kept)
	require.Contains(t, r.lines, "shard map: 1 versions dropped at the limit, 5 since the start")
	for len(r.sent) > 0 {
		r.end(r.sent[0], scheduler.Succeeded)
	}
	for _, e := range all {
		require.True(t, r.one(e).Complete)
	}
	require.Equal(t, 1, r.m.Stats().Kept)
}

func TestNoMapNoService(t *testing.T) {
	r := newRig(t)
	m := slicemap.New(slicemap.Options{})
	s := scheduler.Settings{BrokerCount: 1, TimerResolution: 5, Shards: 8, Cells: 4, CellsPerShard: 2, Placement: m, MaxRetryAfter: 1000,
		Classes: []scheduler.Class{{LatencyObjective: 1, Deadline: 2, PriorityWeight: 2, MinCompleteness: 1, CompletenessTarget: 1}}}
	var err error
	r.c, err = New(s, 7, Options{Clock: r, Log: r, ShardMap: m})
	require.NoError(t, err)
	r.c.Attach(r, r)
	a := r.one(r.ask(0, 0, 3))
	require.Equal(t, Rejected, a.Kind, "before the first map a query is refused at once, with advice")
	require.Positive(t, a.RetryAfter)
}
