package model

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"ternstage/internal/decision/shardmap"
)

// A fixed seed makes every run draw the same histories; -rapid.seed=0 on the command line draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261201") }

var options = Options{Cores: 2, QueueLimit: 4, InitialCapacity: 0.2, WarmUp: 10_000,
	OverloadMultiple: 2.5, OverloadWindow: 1500}

// initialMap returns a map of four shards on the backends a and b.
func initialMap(t require.TestingT) *shardmap.Map {
	m := shardmap.New(shardmap.Options{})
	snapshot := shardmap.Snapshot{Epoch: 1, Buckets: 40}
	for i := range 4 {
		snapshot.Shards = append(snapshot.Shards, &shardmap.Shard{ID: i,
			Range:    shardmap.Range{Start: 10 * i, End: 10*i + 10},
			Replicas: []string{"a", "b"}})
	}
	_, err := m.Reset(snapshot)
	require.NoError(t, err)
	return m
}

// change applies a change to the map.
func change(t require.TestingT, m *shardmap.Map, c shardmap.Change) {
	c.Base, c.Epoch = m.Current().Epoch, m.Current().Epoch+1
	_, err := m.Apply([]shardmap.Change{c}, nil)
	require.NoError(t, err)
}

// TestOneBackendExecutesAtEachEpoch guards against a handover that leaves a shard with two executing backends or
// with none at one of its epochs.
func TestOneBackendExecutesAtEachEpoch(t *testing.T) {
	m := initialMap(t)
	versions := []*shardmap.Version{m.Current()}
	for _, k := range []shardmap.Kind{shardmap.Move, shardmap.Handover, shardmap.Done} {
		change(t, m, shardmap.Change{Kind: k, Shard: 1, From: "a", To: "c"})
		versions = append(versions, m.Current())
	}
	for _, v := range versions {
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
	// A part routed by an epoch that the backend does not know must not run, even if its own map has it as holder.
	n := New("a", options, versions[0], 1)
	end, _ := n.Arrive(5, &Job{Buckets: shardmap.Range{Start: 10, End: 20}, Epoch: 3, Work: 10})
	require.Equal(t, NotHolder, end)
}

// TestQueuedPartsOfMovedShardDoNotRun: parts that wait at a backend while their shard is handed over must be returned
// as moved. If they ran, the new holder could run them as well.
func TestQueuedPartsOfMovedShardDoNotRun(t *testing.T) {
	m := initialMap(t)
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
	require.Equal(t, OK, end, "a part that has started finishes")
	require.Equal(t, jobs[2:], moved)
	require.Nil(t, next)
	require.EqualValues(t, 2, n.PartsRun)
}

// TestOverloadFailsOnlyWarmingBackend: the same load must overload a backend that started lately and none that has
// warmed up.
func TestOverloadFailsOnlyWarmingBackend(t *testing.T) {
	m := initialMap(t)
	isOverloaded := func(started float64) bool {
		n := New("a", options, m.Current(), 1)
		n.Started = started
		for i := range 60 {
			_, _ = n.Arrive(100_000+float64(i)*20, &Job{Buckets: shardmap.Range{Start: 0, End: 10}, Epoch: 1, Work: 70})
		}
		return n.Overloaded
	}
	require.True(t, isOverloaded(99_000))
	require.False(t, isOverloaded(0))
	require.False(t, isOverloaded(80_000))
}

// checkHandover is a model of handovers for rapid. The authoritative map changes; three backends get its versions
// late, repeated and out of order. A broker routes one part by any epoch that it may have, and retries it only if the
// answer says that it did not run. After each step the part must not have run twice. Without epochs (fenced is
// false) the broker retries after errors and lost answers, and rapid finds a history in which the part runs twice.
func checkHandover(t *rapid.T, fenced bool) {
	m := initialMap(t)
	versions := []*shardmap.Version{m.Current()}
	backends := map[string]*Backend{}
	for _, id := range []string{"a", "b", "c"} {
		backends[id] = New(id, options, m.Current(), 1)
	}
	runs, brokerVersion, now := 0, 0, 10.0
	settled := false // an attempt was sent that may have run, so that there is no retry
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
			versions = append(versions, m.Current())
		},
		"replica gets map": func(t *rapid.T) {
			n := backends[rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "backend")]
			n.UpdateMap(rapid.SampledFrom(versions).Draw(t, "version")) // versions arrive late, repeated and out of order
		},
		"broker gets map": func(t *rapid.T) {
			brokerVersion = max(brokerVersion, rapid.IntRange(0, len(versions)-1).Draw(t, "version"))
		},
		"replica restarts": func(t *rapid.T) { // with any version of the map and without its parts
			id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "backend")
			backends[id] = New(id, options, rapid.SampledFrom(versions).Draw(t, "version"), 1)
		},
		"broker restarts": func(t *rapid.T) { brokerVersion = rapid.IntRange(0, brokerVersion).Draw(t, "old") },
		"send": func(t *rapid.T) {
			if settled {
				return
			}
			s := versions[brokerVersion].ShardAt(5)
			to := rapid.SampledFrom(s.Executors()).Draw(t, "to")
			j := &Job{Buckets: shardmap.Range{Start: 0, End: 10}, Epoch: s.Since, Work: 1}
			if !fenced {
				j.Epoch = 0 // a backend that does not hold the buckets answers Failed, and the broker retries
			}
			now += 100
			end, done := backends[to].Arrive(now, j)
			if end == NoOutcome && done > 0 {
				runs++
				if _, _, _, _ = backends[to].Finish(done, j); rapid.Bool().Draw(t, "answer lost") && !fenced {
					return // the broker takes this for an error and retries
				}
			}
			settled = end != NotHolder && end != Failed && end != Rejected
		},
		"": func(t *rapid.T) {
			require.LessOrEqual(t, runs, 1, "the part ran twice")
			executors := m.Current().ShardAt(5).Executors()
			require.Len(t, executors, 2, "buckets without their replicas")
		},
	})
}

// TestHandoverNeverRunsPartTwice checks random histories of handovers with epochs.
func TestHandoverNeverRunsPartTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkHandover(t, true) })
}

// recorder records a failure that rapid reports, without failing the test.
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

// TestHandoverModelDetectsRunTwice shows that the model can fail: without epochs, rapid must find a history in which
// the part runs twice.
func TestHandoverModelDetectsRunTwice(t *testing.T) {
	require.NoError(t, flag.Set("rapid.nofailfile", "true")) // the failure is expected
	r := &recorder{T: t}
	func() {
		defer func() {
			if e := recover(); e != nil && e != any(r) {
				panic(e)
			}
		}()
		rapid.Check(r, func(t *rapid.T) { checkHandover(t, false) })
	}()
	require.True(t, r.failed, "rapid found no history in which a broker that retries after errors runs a part twice")
}
