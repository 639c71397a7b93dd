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

// fixture is a broker of one core whose back end, list, clock and log are the test's.
type fixture struct {
	t           *testing.T
	shardMap    *slicemap.Map
	core        *Core
	now         float64
	wake        float64
	inFlight    []*Attempt // out, in the order in which they went
	attempts    []*Attempt
	newerEpochs []uint64
	lines       []string
	submitted   int
}

func (r *fixture) Now() float64                  { return r.now }
func (r *fixture) WakeAt(at float64)             { r.wake = min(r.wake, at) }
func (r *fixture) SchedulerLine(text string)     { r.lines = append(r.lines, text) }
func (r *fixture) RequestEnded(*Request, Answer) {}
func (r *fixture) Watch()                        {}
func (r *fixture) Send(a *Attempt) {
	r.inFlight, r.attempts = append(r.inFlight, a), append(r.attempts, a)
}
func (r *fixture) Flush()                        {}
func (r *fixture) CloseIdleConnections(uint32)   {}
func (r *fixture) Withdraw(*Attempt) bool        { return false }
func (r *fixture) Abandon(a *Attempt) (ran bool) { r.remove(a); return false }

func (r *fixture) remove(a *Attempt) {
	for i, x := range r.inFlight {
		if x == a {
			r.inFlight = append(r.inFlight[:i], r.inFlight[i+1:]...)
			return
		}
	}
}

const (
	nonIdempotentClass = 0
	idempotentClass    = 1
)

func replicaNumber(node string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(node))
	return h.Sum32()
}

// newFixture has 8 slices of 10 districts, each on two of the nodes a to d in a ring.
func newFixture(t *testing.T) *fixture {
	r := &fixture{t: t, now: 1e6, wake: 1e12}
	r.shardMap = slicemap.New(slicemap.Options{MaxVersions: 8, ReplicaNumber: func(n string) (uint32, bool) { return replicaNumber(n), true }})
	s := scheduler.Settings{BrokerCount: 1, TimerResolution: 5, Shards: 8, Cells: 4, CellsPerShard: 2, Placement: r.shardMap, MaxPartsPerCall: 1, CanCancel: true,
		MaxAttempts: 4, MaxRetryAfter: 1000, DrainGrace: 1000, Classes: []scheduler.Class{
			{LatencyObjective: 1000, Deadline: 2000, PriorityWeight: 2, LateFactor: 0.5, Idempotency: scheduler.NonIdempotent, MinCompleteness: 1, CompletenessTarget: 1},
			{LatencyObjective: 1000, Deadline: 2000, PriorityWeight: 3, LateFactor: 0.5, MinCompleteness: 0.7, CompletenessTarget: 1, PartialFactor: 0.9}}}
	var err error
	r.core, err = New(s, 7, Options{Clock: r, Log: r, ShardMap: r.shardMap})
	require.NoError(t, err)
	r.core.Attach(r, r)
	r.core.OnNewerMap(func(e uint64) { r.newerEpochs = append(r.newerEpochs, e) })
	var es []scheduler.Endpoint
	for i, n := range []string{"a", "b", "c", "d"} {
		es = append(es, scheduler.Endpoint{Replica: replicaNumber(n), Cell: i, State: scheduler.Ready})
	}
	r.core.EndpointsChanged(scheduler.UpdateFull, es)
	w := slicemap.Snapshot{Epoch: 1, Buckets: 80}
	for i := range 8 {
		w.Shards = append(w.Shards, &slicemap.Shard{ID: i, Range: slicemap.Range{Start: 10 * i, End: 10*i + 10},
			Replicas: []string{string(rune('a' + i%4)), string(rune('a' + (i+1)%4))}})
	}
	require.NoError(t, r.core.ApplySnapshot(w))
	r.runFor(1)
	return r
}

// runFor lets so many ms pass, with a turn each.
func (r *fixture) runFor(ms int) {
	for range ms {
		r.now++
		r.core.RunRound()
	}
}

type recorder struct{ answers []Answer }

func (e *recorder) Finish(a Answer) { e.answers = append(e.answers, a) }

func (r *fixture) submit(class int, epoch uint64, shards ...int) *recorder {
	e := &recorder{}
	r.submitted++
	q := &Request{ID: fmt.Sprint("q", r.submitted), Class: class, Deadline: r.now + 2000, Epoch: epoch, Client: e}
	for _, s := range shards {
		q.Parts = append(q.Parts, Part{Shard: s, Weight: 1 / float64(len(shards)), CostHint: 10, HasCostHint: true})
	}
	require.NoError(r.t, r.core.Submit(q))
	r.runFor(1)
	return e
}

func (r *fixture) applyChange(c slicemap.Change) {
	c.Base, c.Epoch = r.core.Epoch(), r.core.Epoch()+1
	require.NoError(r.t, r.core.ApplyChanges([]slicemap.Change{c}, nil))
	r.runFor(1)
}

// moveShard moves a slice to another node, to the end.
func (r *fixture) moveShard(id int, from, to string) {
	r.applyChange(slicemap.Change{Kind: slicemap.Move, Shard: id, From: from, To: to})
	r.applyChange(slicemap.Change{Kind: slicemap.Handover, Shard: id})
	r.applyChange(slicemap.Change{Kind: slicemap.Done, Shard: id})
}

func (r *fixture) endAttempt(a *Attempt, o scheduler.Outcome) {
	r.remove(a)
	r.core.AttemptEnded(a, o, []byte(fmt.Sprint(a.Buckets)))
	r.runFor(1)
}

func backendOf(a *Attempt) string {
	for _, n := range []string{"a", "b", "c", "d"} {
		if replicaNumber(n) == a.Backend {
			return n
		}
	}
	return "?"
}

func (r *fixture) finalAnswer(e *recorder) Answer {
	require.Len(r.t, e.answers, 1)
	return e.answers[0]
}

// A bind part is out when its slice moves: the old holder's answer is good, nothing else goes out meanwhile, and only
// what is proved never to have run goes to the new holder.
func TestNonIdempotentPartInFlightWhenItsShardMoves(t *testing.T) {
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
			r := newFixture(t)
			e := r.submit(nonIdempotentClass, 1, 0)
			require.Len(t, r.inFlight, 1)
			first := r.inFlight[0]
			old := backendOf(first)
			r.moveShard(0, old, "d")
			r.runFor(50)
			require.Len(t, r.attempts, 1, "nothing else goes out while it is")
			first.BackendEpoch = 4
			r.endAttempt(first, c.o)
			r.runFor(200)
			if !c.more {
				require.Equal(t, c.kind, r.finalAnswer(e).Kind)
				require.Len(t, r.attempts, 1)
				return
			}
			require.Len(t, r.attempts, 2)
			require.NotEqual(t, old, backendOf(r.attempts[1]), "by the map of now it is another's")
			require.EqualValues(t, 4, r.attempts[1].Epoch)
			r.endAttempt(r.attempts[1], scheduler.Succeeded)
			require.Equal(t, Answered, r.finalAnswer(e).Kind)
		})
	}
	t.Run("time-out", func(t *testing.T) {
		r := newFixture(t)
		e := r.submit(nonIdempotentClass, 1, 0)
		r.moveShard(0, backendOf(r.inFlight[0]), "d")
		r.runFor(2100)
		require.Equal(t, Failed, r.finalAnswer(e).Kind)
		require.Len(t, r.attempts, 1, "a time-out at the old holder is not followed by a try at the new one")
	})
	t.Run("split", func(t *testing.T) {
		r := newFixture(t)
		e := r.submit(nonIdempotentClass, 1, 0)
		r.applyChange(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
		r.endAttempt(r.inFlight[0], scheduler.ConnectionReset)
		r.runFor(200)
		require.Equal(t, Failed, r.finalAnswer(e).Kind)
		require.Len(t, r.attempts, 1)
	})
}

// A part whose slice was split goes on as two, which count only together.
func TestHalfOfASplitPartDoesNotCount(t *testing.T) {
	r := newFixture(t)
	e := r.submit(idempotentClass, 1, 0, 1, 2, 3)
	require.Len(t, r.inFlight, 4)
	first := r.inFlight[0]
	require.Equal(t, 0, first.Shard)
	r.applyChange(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	r.endAttempt(first, scheduler.Failed)
	r.runFor(50)
	require.Len(t, r.attempts, 6)
	halves := r.attempts[4:]
	require.Equal(t, []slicemap.Range{{Start: 0, End: 4}, {Start: 4, End: 10}},
		[]slicemap.Range{halves[0].Buckets, halves[1].Buckets})
	require.EqualValues(t, 1, r.core.ReshardingStats().Split)
	for _, a := range append([]*Attempt(nil), r.inFlight...) {
		if a != halves[1] {
			r.endAttempt(a, scheduler.Succeeded)
		}
	}
	require.Empty(t, e.answers, "three parts and a half are not whole")
	r.runFor(2100)
	a := r.finalAnswer(e)
	require.Equal(t, Answered, a.Kind)
	require.False(t, a.Complete)
	require.Len(t, a.Values, 3)
	for _, v := range a.Values {
		require.NotEqual(t, 0, v.Shard, "half a part does not stand in the answer")
	}
}

func TestBothHalvesOfASplitPartCompleteIt(t *testing.T) {
	r := newFixture(t)
	e := r.submit(idempotentClass, 1, 0, 1)
	first := r.inFlight[0]
	r.applyChange(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	r.endAttempt(first, scheduler.Failed)
	r.runFor(50)
	for len(r.inFlight) > 0 {
		r.endAttempt(r.inFlight[0], scheduler.Succeeded)
	}
	a := r.finalAnswer(e)
	require.True(t, a.Complete)
	require.EqualValues(t, 1, a.Epoch, "it is told by which map it began")
	require.Equal(t, []Value{{0, slicemap.Range{Start: 0, End: 4}, []byte("0-4")},
		{0, slicemap.Range{Start: 4, End: 10}, []byte("4-10")}, {1, slicemap.Range{Start: 10, End: 20}, []byte("10-20")}}, a.Values)
	require.Equal(t, 1, r.shardMap.Stats().Kept, "its version is freed")
	require.Empty(t, r.core.partsByShard)
	require.Empty(t, r.core.inFlight)
}

// A merged slice answers for two parts: each asks for its own districts, so none counts twice.
func TestMergedShardAnswersForTwoParts(t *testing.T) {
	r := newFixture(t)
	r.applyChange(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	e := r.submit(idempotentClass, 2, 8, 9)
	require.Len(t, r.inFlight, 2)
	r.applyChange(slicemap.Change{Kind: slicemap.Merge, Shard: 8, Other: 9, Into: []int{10}})
	old := append([]*Attempt(nil), r.inFlight...)
	r.endAttempt(old[0], scheduler.Failed)
	r.runFor(50)
	again := r.attempts[2]
	require.Equal(t, 10, again.Shard)
	require.Equal(t, slicemap.Range{Start: 0, End: 4}, again.Buckets)
	r.endAttempt(old[1], scheduler.Succeeded) // the old name's holder answers after the merge: good
	r.endAttempt(again, scheduler.Succeeded)
	a := r.finalAnswer(e)
	require.True(t, a.Complete)
	require.Len(t, a.Values, 2)
	require.Zero(t, r.core.ReshardingStats().Duplicates)
}

// A slice goes from A to B and back to A while an answer from A's first time is out: that answer counts, once.
func TestShardMovesThereAndBackWhileInFlight(t *testing.T) {
	r := newFixture(t)
	e := r.submit(nonIdempotentClass, 1, 0)
	first := r.inFlight[0]
	old := backendOf(first)
	r.moveShard(0, old, "d")
	r.moveShard(0, "d", old)
	r.applyChange(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	r.endAttempt(first, scheduler.Succeeded)
	require.Equal(t, Answered, r.finalAnswer(e).Kind)
	require.Len(t, r.attempts, 1)
}

// What the client named at an older epoch is translated; what cannot be is turned away at once with the epoch in use;
// what is newer than our map is refused, with advice, and the map is read.
func TestShardsNamedAtOtherEpochs(t *testing.T) {
	r := newFixture(t)
	r.applyChange(slicemap.Change{Kind: slicemap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
	e := r.submit(idempotentClass, 1, 0, 1)
	require.Len(t, r.inFlight, 3, "one part, two calls")
	for len(r.inFlight) > 0 {
		r.endAttempt(r.inFlight[0], scheduler.Succeeded)
	}
	require.True(t, r.finalAnswer(e).Complete)

	q := &Request{ID: "old", Class: idempotentClass, Deadline: r.now + 2000, Epoch: 1, Client: &recorder{},
		Parts: []Part{{Shard: 77, Weight: 1}}}
	err := r.core.Submit(q)
	var stale *StaleEpochError
	require.True(t, errors.As(err, &stale) && errors.Is(err, ErrInvalidRequest), err)
	require.EqualValues(t, 2, stale.Epoch)

	q = &Request{ID: "twice", Class: idempotentClass, Deadline: r.now + 2000, Client: &recorder{},
		Parts: []Part{{Shard: 0, Weight: 0.5}, {Shard: 9, Weight: 0.5}}}
	require.ErrorIs(t, r.core.Submit(q), ErrInvalidRequest, "names of two epochs that mean the same districts")

	e = r.submit(idempotentClass, 9, 77)
	a := r.finalAnswer(e)
	require.Equal(t, Rejected, a.Kind)
	require.Equal(t, behindRetryAfterMs, a.RetryAfter)
	require.Equal(t, []uint64{9}, r.newerEpochs)
}

// A node knows a newer map: one read is asked for, the other holder is tried at once, and when all have said so the
// part waits for that epoch and no longer.
func TestPartWaitsForTheEpochOfABackend(t *testing.T) {
	r := newFixture(t)
	e := r.submit(nonIdempotentClass, 1, 0)
	for i := range 2 {
		require.Len(t, r.attempts, i+1)
		a := r.attempts[i]
		a.BackendEpoch = 4
		r.endAttempt(a, scheduler.NotHolder)
		r.runFor(20)
	}
	require.NotEqual(t, r.attempts[0].Backend, r.attempts[1].Backend)
	require.Len(t, r.attempts, 2, "both holders were asked: it waits")
	require.Equal(t, []uint64{4, 4}, r.newerEpochs)
	r.moveShard(0, "a", "c")
	r.moveShard(0, "b", "d")
	r.runFor(20)
	require.Len(t, r.attempts, 3, "the map has come: it waits no more")
	require.Contains(t, []string{"c", "d"}, backendOf(r.attempts[2]))
	r.endAttempt(r.attempts[2], scheduler.Succeeded)
	require.Equal(t, Answered, r.finalAnswer(e).Kind)
}

// The catalogue was away; then 200 changes come in one answer while queries are held.
func TestManyChangesAtOnce(t *testing.T) {
	r := newFixture(t)
	e := r.submit(idempotentClass, 1, 0, 1, 2, 3)
	var cs []slicemap.Change
	epoch, next := r.core.Epoch(), 8
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
	require.NoError(t, r.core.ApplyChanges(cs, nil))
	require.Error(t, r.core.ApplyChanges([]slicemap.Change{{Base: 7, Epoch: epoch + 9, Kind: slicemap.Handover}}, nil))
	r.endAttempt(r.inFlight[0], scheduler.Failed)
	r.runFor(50)
	for len(r.inFlight) > 0 {
		r.endAttempt(r.inFlight[0], scheduler.Succeeded)
	}
	a := r.finalAnswer(e)
	require.True(t, a.Complete)
	require.Len(t, a.Values, 4)
	require.Equal(t, next-1, r.attempts[4].Shard, "the last slice of that name's districts")
}

// Versions beyond the bound are let go, which is logged, and the queries that began on them are answered all the same.
func TestMapVersionsAtTheLimit(t *testing.T) {
	r := newFixture(t)
	var all []*recorder
	for i := range 12 {
		all = append(all, r.submit(idempotentClass, 0, i%8))
		r.applyChange(slicemap.Change{Kind: slicemap.Assign, Shard: 7, Replicas: []string{"a", "b", "c", "d"}[i%4 : i%4+1]})
	}
	require.Equal(t, 8, r.shardMap.Stats().Kept)
	require.Contains(t, r.lines, "shard map: 1 versions dropped at the limit, 5 since the start")
	for len(r.inFlight) > 0 {
		r.endAttempt(r.inFlight[0], scheduler.Succeeded)
	}
	for _, e := range all {
		require.True(t, r.finalAnswer(e).Complete)
	}
	require.Equal(t, 1, r.shardMap.Stats().Kept)
}

func TestRejectsBeforeTheFirstMap(t *testing.T) {
	r := newFixture(t)
	m := slicemap.New(slicemap.Options{})
	s := scheduler.Settings{BrokerCount: 1, TimerResolution: 5, Shards: 8, Cells: 4, CellsPerShard: 2, Placement: m, MaxRetryAfter: 1000,
		Classes: []scheduler.Class{{LatencyObjective: 1, Deadline: 2, PriorityWeight: 2, MinCompleteness: 1, CompletenessTarget: 1}}}
	var err error
	r.core, err = New(s, 7, Options{Clock: r, Log: r, ShardMap: m})
	require.NoError(t, err)
	r.core.Attach(r, r)
	a := r.finalAnswer(r.submit(0, 0, 3))
	require.Equal(t, Rejected, a.Kind, "before the first map a query is refused at once, with advice")
	require.Positive(t, a.RetryAfter)
}
