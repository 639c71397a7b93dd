package world

import (
	"fmt"
	"runtime"
	"strconv"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/model"
	"ternstage/internal/lab/result"
)

const reshardExperiment = "../../../experiments/reshard.jsonnet"

// loadExperiment loads the resharding experiment with an arm, the interval of map changes and a duration.
func loadExperiment(t *testing.T, arm string, every, seconds float64) *exp.Experiment {
	e, err := exp.Load(reshardExperiment, map[string]string{"arm": arm, "every": strconv.FormatFloat(every, 'f', -1, 64),
		"seconds": strconv.FormatFloat(seconds, 'f', -1, 64)})
	require.NoError(t, err)
	return e
}

// runSeeds runs n seeds in parallel, starting with from, and returns the sum of their results.
func runSeeds(e *exp.Experiment, from, n int, f Fault) result.Summary {
	all, wg := make([]result.Summary, n), sync.WaitGroup{}
	for i := range all {
		wg.Add(1)
		go func() {
			defer wg.Done()
			s := New(e, uint64(from+i))
			s.Fault = f
			all[i] = s.Run(nil)
		}()
	}
	wg.Wait()
	return result.Sum(all)
}

// TestRulesHoldDuringResharding guards against broken rules while shards change every second, backends and brokers
// fail, and catalogue answers are late, lost, duplicated and malformed. The earned weight must be close to that
// without changes.
func TestRulesHoldDuringResharding(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 1000, 40)
	s := runSeeds(e, 1, 16, Fault{})
	_, faults := s.CheckBounds(e.Expect)
	require.Empty(t, faults)
	require.Greater(t, s.Changes, 16*20)
	require.Positive(t, s.NotHolder)
	require.Zero(t, s.OpenAtEnd)
	unchanged := runSeeds(loadExperiment(t, exp.Follow, 0, 40), 1, 16, Fault{})
	require.InDelta(t, unchanged.EarnedShare, s.EarnedShare, 0.03)
	often := loadExperiment(t, exp.Follow, 100, 40)
	s = runSeeds(often, 1, 16, Fault{})
	_, faults = s.CheckBounds(often.Expect)
	require.Empty(t, faults)
	require.Positive(t, s.PartsInFlight, "parts were in flight when their shard was retired")
	require.Positive(t, s.PartsReplaced)
	require.Positive(t, s.PartsSplit)
	require.Positive(t, s.MapsRejected, "malformed maps were rejected")
}

// TestSameSeedGivesSameRun guards against results that depend on anything but the experiment and the seed.
func TestSameSeedGivesSameRun(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 500, 20)
	a, b := New(e, 7).Run(nil), New(e, 7).Run(nil)
	a.WallS, b.WallS = 0, 0
	require.Equal(t, a, b)
	c := New(e, 8).Run(nil)
	require.NotEqual(t, a.Received, c.Received)
}

// TestArmsWithoutEpochsPerformWorse: without epochs, the arm that reloads on SIGHUP rejects and fails more requests,
// and the naive arm runs parts twice.
func TestArmsWithoutEpochsPerformWorse(t *testing.T) {
	t.Parallel()
	follow := runSeeds(loadExperiment(t, exp.Follow, 1000, 40), 1, 6, Fault{})
	sighup := runSeeds(loadExperiment(t, exp.Sighup, 1000, 40), 1, 6, Fault{})
	naive := runSeeds(loadExperiment(t, exp.Naive, 1000, 40), 1, 6, Fault{})
	require.Less(t, sighup.EarnedShare, follow.EarnedShare-0.05)
	require.Positive(t, naive.RanTwice)
	require.Zero(t, follow.Violations(), follow.Notes)
}

// TestCheckersDetectFaults guards against checkers that let through the violation that they exist for.
func TestCheckersDetectFaults(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		f     Fault
		count func(result.Summary) int
	}{
		"lost": {Fault{LoseAnswer: true}, func(s result.Summary) int { return s.Lost }},
		"falsely complete": {Fault{MarkComplete: true},
			func(s result.Summary) int { return s.FalselyComplete }},
		"short": {Fault{DropHit: true},
			func(s result.Summary) int { return s.BelowMinCompleteness }},
		"wrong value": {Fault{ForeignValue: true}, func(s result.Summary) int { return s.WrongValues }},
		"counted twice": {Fault{DuplicateValue: true},
			func(s result.Summary) int { return s.CountedTwice }},
		"late drain":                    {Fault{IgnoreDrain: true}, func(s result.Summary) int { return s.SentAfterDrain }},
		"two attempts at once":          {Fault{DuplicateAttempt: true}, func(s result.Summary) int { return s.Overlaps }},
		"non-idempotent part run twice": {Fault{DuplicateAttempt: true}, func(s result.Summary) int { return s.RanTwice }},
		"buckets not held":              {Fault{Unfenced: true}, func(s result.Summary) int { return s.Overlaps }},
		"overloaded while warming up": {Fault{HideStarts: true},
			func(s result.Summary) int { return s.WarmingOverloaded }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := loadExperiment(t, exp.Follow, 700, 40)
			if c.f.HideStarts {
				e.Rate, e.Backend.InitialCapacity, e.Backend.OverloadMultiple, e.Backend.OverloadWindow = 120, 0.05, 1, 1000
				e.Faults.Kinds = []string{"down"}
			}
			s := runSeeds(e, 1, 3, c.f)
			require.Positive(t, c.count(s), fmt.Sprint(s.Counts))
		})
	}
}

// TestMoveSurvivesStoppedBackends stops the source or the destination of a move, or both, during the move. Every
// shard must keep a running replica, and no rule may be broken.
func TestMoveSurvivesStoppedBackends(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		from, to float64 // ms from the start of the move until the backend stops; 0: it does not stop
		moved    bool
	}{
		"the destination while it copies": {0, 300, false},
		"the destination in the handover": {0, 900, false},
		"the source while it is copied":   {300, 0, true},
		"the source in the handover":      {900, 0, true},
		"both":                            {300, 900, false},
		"the source after the move":       {2500, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := loadExperiment(t, exp.Follow, 0, 20)
			e.Faults.Interval, e.Updates.Outages = 0, nil
			s := New(e, 11)
			f := s.fleet
			at := f.shardMap.Current().Shard(3)
			replicas, to := at.Replicas, f.backends[0]
			from := f.backends[f.byName[replicas[0]]-1]
			s.schedule(clockStartMs+6000, func() { require.True(t, f.moveShard(at, from.ID, to, 800, 1000, false, false)) })
			if c.to > 0 {
				s.schedule(clockStartMs+6000+c.to, func() { f.stopBackend(to) })
			}
			if c.from > 0 {
				s.schedule(clockStartMs+6000+c.from, func() { f.stopBackend(from) })
			}
			for at := 6000.0; at < 12_000; at += 10 {
				s.schedule(clockStartMs+at, func() {
					f.shardMap.Current().All(func(x *shardmap.Shard) bool {
						up := 0
						for _, id := range x.Executors() {
							if f.backends[f.byName[id]-1].Fault != model.Down {
								up++
							}
						}
						require.Positive(t, up, "shard %d has no running replica", x.ID)
						return true
					})
				})
			}
			r := s.Run(nil)
			require.Zero(t, r.Violations(), r.Notes)
			require.Greater(t, r.EarnedShare, 0.97)
			end := f.shardMap.Current().Shard(3)
			require.Equal(t, shardmap.Serving, end.State)
			if c.moved {
				require.Equal(t, append([]string{to.ID}, replicas[1:]...), end.Replicas)
			} else {
				require.Equal(t, replicas, end.Replicas)
			}
		})
	}
}

// TestHandoversToWarmingBackendsArePaced moves shards to backends that have just started, as fast as the pacer
// allows. No backend may be overloaded.
func TestHandoversToWarmingBackendsArePaced(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 150, 40)
	e.Changes.Split, e.Changes.Merge, e.Changes.Move, e.Updates.Outages = 0, 0, 1, nil
	e.Rate, e.Faults.Interval, e.Faults.Kinds = 90, 3000, []string{"down"}
	e.Faults.For = exp.Span{500, 1000}
	s := runSeeds(e, 1, 6, Fault{})
	require.Zero(t, s.Violations(), s.Notes)
	require.Greater(t, s.Changes, 600)
	require.Greater(t, s.EarnedShare, 0.9)
}

// TestLongCatalogueOutage: during an outage of 30 s handovers go on, and after it the brokers receive about 200
// changes at once.
func TestLongCatalogueOutage(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 250, 50)
	e.Updates.Outages = e.Updates.Outages[:1]
	e.Updates.Outages[0].At, e.Updates.Outages[0].For = 10_000, 30_000
	e.Faults.Kinds = []string{"hang", "slow", "fail", "drain"}
	s := runSeeds(e, 1, 4, Fault{})
	require.Zero(t, s.Violations(), s.Notes)
	require.Positive(t, s.NotHolder)
	require.Greater(t, s.EarnedShare, 0.7)
	require.Zero(t, s.OpenAtEnd)
}

// TestManyChangesRetainNoState guards against state that accumulates with shard map changes: what is retained at the
// end of a long run must be what was retained halfway.
func TestManyChangesRetainNoState(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 15, 160)
	e.Rate, e.Faults.Interval, e.Updates.Outages, e.RetiredShards = 20, 0, nil, 1024
	s := New(e, 3)
	var half, last uint64
	end := s.Run(func(second int, r result.Summary) {
		var m runtime.MemStats
		if second == 80 || second == 160 {
			runtime.GC()
			runtime.ReadMemStats(&m)
			half, last = last, m.HeapAlloc
		}
	})
	require.Greater(t, end.Changes, 10_000)
	t.Logf("heap halfway %d KB, at the end %d KB, %d changes", half>>10, last>>10, end.Changes)
	require.Zero(t, end.Violations(), end.Notes)
	require.Zero(t, end.OpenAtEnd)
	require.LessOrEqual(t, end.MaxRetainedVersions, 40)
	for _, x := range s.brokers {
		b := x.(*virtualBroker)
		require.Equal(t, 1, b.shardMap.Stats().RetainedVersions, "versions without users are retained")
		require.LessOrEqual(t, b.shardMap.Stats().Groups, b.shardMap.Stats().Shards)
		require.Empty(t, b.inFlight)
	}
	// Other tests share the heap, so this bound is rough; docs/results has the figures of this test run alone.
	require.Less(t, float64(last), float64(half)+64e6)
}
