package model

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
)

// CI must say the same every time; -rapid.seed=0 on the command line draws new histories.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var options = Options{Cores: 2, QueueLimit: 4, InitialCapacity: 0.2, WarmUp: 10_000, OverloadMultiple: 2.5, OverloadWindow: 1500}

func first(t require.TestingT) *shardmap.Map {
	m := shardmap.New(shardmap.Options{})
	w := shardmap.Snapshot{Epoch: 1, Buckets: 40}
	for i := range 4 {
		w.Shards = append(w.Shards, &shardmap.Shard{ID: i, Range: shardmap.Range{Start: 10 * i, End: 10*i + 10},
			Replicas: []string{"a", "b"}})
	}
	_, err := m.Reset(w)
	require.NoError(t, err)
	return m
}

func change(t require.TestingT, m *shardmap.Map, c shardmap.Change) {
	c.Base, c.Epoch = m.Current().Epoch, m.Current().Epoch+1
	_, err := m.Apply([]shardmap.Change{c}, nil)
	require.NoError(t, err)
}

// At each step of a handover exactly one of its two sides executes, whatever each of them has heard by then.
func TestOneSideExecutesAtEachEpoch(t *testing.T) {
	m := first(t)
	views := []*shardmap.Version{m.Current()}
	for _, k := range []shardmap.Kind{shardmap.Move, shardmap.Handover, shardmap.Done} {
		change(t, m, shardmap.Change{Kind: k, Shard: 1, From: "a", To: "c"})
		views = append(views, m.Current())
	}
	for _, v := range views {
		ran := 0
		for _, id := range []string{"a", "c"} {
			n := New(id, options, v, 1)
			j := &Job{RequestID: "q", Buckets: shardmap.Range{Start: 10, End: 20}, Epoch: v.Epoch, Work: 10}
			if end, done := n.Arrive(5, j); end == NoOutcome && done > 0 {
				ran++
			} else {
				require.Equal(t, NotHolder, end)
			}
		}
		require.Equal(t, 1, ran, "epoch %d", v.Epoch)
	}
	// A part routed by news that the node has not heard is not its to run, whoever it thinks it is.
	n := New("a", options, views[0], 1)
	end, _ := n.Arrive(5, &Job{Buckets: shardmap.Range{Start: 10, End: 20}, Epoch: 3, Work: 10})
	require.Equal(t, NotHolder, end)
}

// What waits at a node when its slice is handed over is given back, and never runs there.
func TestWaitingPartsAreGivenBack(t *testing.T) {
	m := first(t)
	n := New("a", options, m.Current(), 1)
	var jobs []*Job
	for i := range 4 {
		j := &Job{RequestID: fmt.Sprint(i), Buckets: shardmap.Range{Start: 0, End: 10}, Epoch: 1, Work: 10}
		_, _ = n.Arrive(float64(i), j)
		jobs = append(jobs, j)
	}
	change(t, m, shardmap.Change{Kind: shardmap.Move, Shard: 0, From: "a", To: "c"})
	change(t, m, shardmap.Change{Kind: shardmap.Handover, Shard: 0})
	n.UpdateMap(m.Current())
	end, moved, next, _ := n.Finish(10, jobs[0])
	require.Equal(t, OK, end, "what had begun is finished")
	require.Equal(t, jobs[2:], moved)
	require.Nil(t, next)
	require.EqualValues(t, 2, n.PartsRun)
}

func TestColdNodeFallsOverAndWarmOneDoesNot(t *testing.T) {
	m := first(t)
	press := func(started float64) bool {
		n := New("a", options, m.Current(), 1)
		n.Started = started
		for i := range 60 {
			_, _ = n.Arrive(100_000+float64(i)*20, &Job{Buckets: shardmap.Range{Start: 0, End: 10}, Epoch: 1, Work: 70})
		}
		return n.Overloaded
	}
	require.True(t, press(99_000))
	require.False(t, press(0))
	require.False(t, press(80_000))
}

// The handover as a model: a truth that changes, two sides and a third that hear of it late, in any order of
// arrival, and a broker that routes a part by any epoch it may be at and sends it on only when it was told moved.
// After each step the part must not have run twice. With fences off, rapid finds the history in which it does.
func handover(t *rapid.T, fenced bool) {
	m := first(t)
	views := []*shardmap.Version{m.Current()}
	nodes := map[string]*Backend{}
	for _, id := range []string{"a", "b", "c"} {
		nodes[id] = New(id, options, m.Current(), 1)
	}
	ran, broker, clock := 0, 0, 10.0
	settled := false // an attempt went out that may have run
	t.Repeat(map[string]func(*rapid.T){
		"change": func(t *rapid.T) {
			s := m.Current().ShardAt(5)
			c := shardmap.Change{Shard: s.ID, Base: m.Current().Epoch, Epoch: m.Current().Epoch + 1}
			switch s.State {
			case shardmap.Serving:
				c.Kind, c.From = shardmap.Move, rapid.SampledFrom(s.Replicas).Draw(t, "from")
				for _, id := range []string{"a", "b", "c"} {
					if !s.Executes(id) {
						c.To = id
					}
				}
			case shardmap.Preparing:
				c.Kind = rapid.SampledFrom([]shardmap.Kind{shardmap.Handover, shardmap.Abort}).Draw(t, "kind")
			default:
				c.Kind = rapid.SampledFrom([]shardmap.Kind{shardmap.Done, shardmap.Abort}).Draw(t, "kind")
			}
			_, err := m.Apply([]shardmap.Change{c}, nil)
			require.NoError(t, err)
			views = append(views, m.Current())
		},
		"node hears": func(t *rapid.T) {
			n := nodes[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")]
			n.UpdateMap(rapid.SampledFrom(views).Draw(t, "view")) // news comes late, twice and out of order
		},
		"broker hears": func(t *rapid.T) { broker = max(broker, rapid.IntRange(0, len(views)-1).Draw(t, "view")) },
		"node restarts": func(t *rapid.T) { // with whatever map it finds; what it had is gone
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "node")
			nodes[id] = New(id, options, rapid.SampledFrom(views).Draw(t, "view"), 1)
		},
		"broker restarts": func(t *rapid.T) { broker = rapid.IntRange(0, broker).Draw(t, "old") },
		"send": func(t *rapid.T) {
			if settled {
				return
			}
			s := views[broker].ShardAt(5)
			to := rapid.SampledFrom(s.Executors()).Draw(t, "to")
			j := &Job{Buckets: shardmap.Range{Start: 0, End: 10}, Epoch: s.Since, Work: 1}
			if !fenced {
				j.Epoch = 0 // the node says err where it does not hold the districts, and the broker sends again
			}
			clock += 100
			end, done := nodes[to].Arrive(clock, j)
			if end == NoOutcome && done > 0 {
				ran++
				if _, _, _, _ = nodes[to].Finish(done, j); rapid.Bool().Draw(t, "answer lost") && !fenced {
					return // whoever takes that for an error sends again
				}
			}
			settled = end != NotHolder && end != Failed && end != Rejected
		},
		"": func(t *rapid.T) {
			require.LessOrEqual(t, ran, 1, "the part ran twice")
			executors := m.Current().ShardAt(5).Executors()
			require.Len(t, executors, 2, "no district without its holders")
		},
	})
}

func TestHandoverModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { handover(t, true) })
}

// recorder takes rapid's verdict in place of the test's.
type recorder struct {
	*testing.T
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Error(...any)          { r.failed = true }
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) FailNow()              { r.failed = true; panic(r) }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) Fatal(...any)          { r.FailNow() }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Log(...any)            {}

func TestHandoverModelFindsABrokenRule(t *testing.T) {
	require.NoError(t, flag.Set("rapid.nofailfile", "true")) // the failure is what is wanted
	r := &recorder{T: t}
	func() {
		defer func() {
			if e := recover(); e != nil && e != any(r) {
				panic(e)
			}
		}()
		rapid.Check(r, func(t *rapid.T) { handover(t, false) })
	}()
	require.True(t, r.failed, "a broker that sends again on errors runs a part twice, and rapid finds how")
}
