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

func loadExperiment(t *testing.T, arm string, every, seconds float64) *exp.Experiment {
	e, err := exp.Load(reshardExperiment, map[string]string{"arm": arm, "every": strconv.FormatFloat(every, 'f', -1, 64),
		"seconds": strconv.FormatFloat(seconds, 'f', -1, 64)})
	require.NoError(t, err)
	return e
}

// seeds plays so many seeds side by side and gives their sum.
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

// No rule breaks while slices change every second, nodes and brokers fail and news is late, lost, twice and spoilt;
// and the day is worth nearly what it is worth without changes.
func TestRulesHoldWhileSlicesMove(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 1000, 40)
	s := runSeeds(e, 1, 16, Fault{})
	_, faults := s.Judge(e.Expect)
	require.Empty(t, faults)
	require.Greater(t, s.Changes, 16*20)
	require.Positive(t, s.Moved)
	require.Zero(t, s.OpenEnd)
	still := runSeeds(loadExperiment(t, exp.Follow, 0, 40), 1, 16, Fault{})
	require.InDelta(t, still.Worth, s.Worth, 0.03)
	often := loadExperiment(t, exp.Follow, 100, 40)
	s = runSeeds(often, 1, 16, Fault{})
	_, faults = s.Judge(often.Expect)
	require.Empty(t, faults)
	require.Positive(t, s.Caught, "parts were out when their slice was retired")
	require.Positive(t, s.Replaced)
	require.Positive(t, s.SplitParts)
	require.Positive(t, s.Refusals, "spoilt maps were refused")
}

func TestSameSeedSameDay(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 500, 20)
	a, b := New(e, 7).Run(nil), New(e, 7).Run(nil)
	a.WallS, b.WallS = 0, 0
	require.Equal(t, a, b)
	c := New(e, 8).Run(nil)
	require.NotEqual(t, a.Taken, c.Taken)
}

// The arms that know no epochs lose: one by refusing and failing, the other by the rules.
func TestArmsWithoutEpochsLose(t *testing.T) {
	t.Parallel()
	follow := runSeeds(loadExperiment(t, exp.Follow, 1000, 40), 1, 6, Fault{})
	sighup := runSeeds(loadExperiment(t, exp.Sighup, 1000, 40), 1, 6, Fault{})
	naive := runSeeds(loadExperiment(t, exp.Naive, 1000, 40), 1, 6, Fault{})
	require.Less(t, sighup.Worth, follow.Worth-0.05)
	require.Positive(t, naive.BindTwice)
	require.Zero(t, follow.Broken(), follow.Notes)
}

// Every checker is seen to catch what it is there for.
func TestCheckersCatch(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		f     Fault
		count func(result.Summary) int
	}{
		"lost":          {Fault{LoseAnswer: true}, func(s result.Summary) int { return s.Lost }},
		"falsely whole": {Fault{MarkComplete: true}, func(s result.Summary) int { return s.FalselyWhole }},
		"short":         {Fault{DropHit: true}, func(s result.Summary) int { return s.Short }},
		"wrong value":   {Fault{ForeignValue: true}, func(s result.Summary) int { return s.WrongValue }},
		"counted twice": {Fault{DuplicateValue: true}, func(s result.Summary) int { return s.CountedTwice }},
		"drain late":    {Fault{IgnoreDrain: true}, func(s result.Summary) int { return s.DrainLate }},
		"two at once":   {Fault{DuplicateAttempt: true}, func(s result.Summary) int { return s.Overlaps }},
		"bind twice":    {Fault{DuplicateAttempt: true}, func(s result.Summary) int { return s.BindTwice }},
		"not held":      {Fault{Unfenced: true}, func(s result.Summary) int { return s.Overlaps }},
		"cold fallen":   {Fault{HideStarts: true}, func(s result.Summary) int { return s.ColdFallen }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := loadExperiment(t, exp.Follow, 700, 40)
			if c.f.HideStarts {
				e.Rate, e.Node.ColdFrom, e.Node.FallMultiple, e.Node.FallFor = 120, 0.05, 1, 1000
				e.Troubles.Kinds = []string{"down"}
			}
			s := runSeeds(e, 1, 3, c.f)
			require.Positive(t, c.count(s), fmt.Sprint(s.Counts))
		})
	}
}

// One of the two sides of a move, or both, die in the middle of it: no district is without a holder that could have
// had one, and no rule breaks.
func TestSidesOfAMoveDie(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		from, to float64 // ms after the move began at which they die; 0: they live
		moved    bool
	}{
		"the destination while it copies":   {0, 300, false},
		"the destination in the handover":   {0, 900, false},
		"the source while it is copied":     {300, 0, true},
		"the source in the handover":        {900, 0, true},
		"both":                              {300, 900, false},
		"the source drains and dies, after": {2500, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := loadExperiment(t, exp.Follow, 0, 20)
			e.Troubles.Every, e.News.Outages = 0, nil
			s := New(e, 11)
			f := s.fleet
			at := f.shardMap.Current().Shard(3)
			holders, to := at.Replicas, f.backends[0]
			from := f.backends[f.byName[holders[0]]-1]
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
							if f.backends[f.byName[id]-1].Trouble != model.Down {
								up++
							}
						}
						require.Positive(t, up, "slice %d has no holder", x.ID)
						return true
					})
				})
			}
			r := s.Run(nil)
			require.Zero(t, r.Broken(), r.Notes)
			require.Greater(t, r.Worth, 0.97)
			end := f.shardMap.Current().Shard(3)
			require.Equal(t, shardmap.Serving, end.State)
			if c.moved {
				require.Equal(t, append([]string{to.ID}, holders[1:]...), end.Replicas)
			} else {
				require.Equal(t, holders, end.Replicas)
			}
		})
	}
}

// Slices go onto nodes that have just started, as fast as the pace allows: none is pushed over.
func TestFreshNodesTakeSlicesAtTheirPace(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 150, 40)
	e.Changes.Split, e.Changes.Merge, e.Changes.Move, e.News.Outages = 0, 0, 1, nil
	e.Rate, e.Troubles.Every, e.Troubles.Kinds = 90, 3000, []string{"down"}
	e.Troubles.For = exp.Span{500, 1000}
	s := runSeeds(e, 1, 6, Fault{})
	require.Zero(t, s.Broken(), s.Notes)
	require.Greater(t, s.Changes, 600)
	require.Greater(t, s.Worth, 0.9)
}

// The catalogue is away for 30 s while handovers go on, and then tells some 200 changes at once.
func TestCatalogueIsAwayForLong(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 250, 50)
	e.News.Outages = e.News.Outages[:1]
	e.News.Outages[0].At, e.News.Outages[0].For = 10_000, 30_000
	e.Troubles.Kinds = []string{"hang", "slow", "fail", "drain"}
	s := runSeeds(e, 1, 4, Fault{})
	require.Zero(t, s.Broken(), s.Notes)
	require.Positive(t, s.Moved)
	require.Greater(t, s.Worth, 0.7)
	require.Zero(t, s.OpenEnd)
}

// A long run of changes leaves nothing behind: what is kept at its end is what was kept in its middle.
func TestThousandsOfChangesLeaveNothingBehind(t *testing.T) {
	t.Parallel()
	e := loadExperiment(t, exp.Follow, 15, 160)
	e.Rate, e.Troubles.Every, e.News.Outages, e.History = 20, 0, nil, 1024
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
	t.Logf("heap at the half %d KB, at the end %d KB, %d changes", half>>10, last>>10, end.Changes)
	require.Zero(t, end.Broken(), end.Notes)
	require.Zero(t, end.OpenEnd)
	require.LessOrEqual(t, end.KeptMax, 40)
	for _, x := range s.brokers {
		b := x.(*virtualBroker)
		require.Equal(t, 1, b.shardMap.Stats().RetainedVersions, "no version is kept for nobody")
		require.LessOrEqual(t, b.shardMap.Stats().Groups, b.shardMap.Stats().Shards)
		require.Empty(t, b.inFlight)
	}
	// Other tests share the heap, so that the bound can only be rough here; docs/results has the run alone.
	require.Less(t, float64(last), float64(half)+64e6)
}
