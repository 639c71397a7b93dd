package scheduler_test

import (
	"math"
	"testing"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

const (
	benchShards        = 60
	benchCells         = 12
	benchCellsPerShard = 3
	benchReplicas      = 36
	benchParts         = 6    // of a query
	benchLatencyMs     = 20.0 // of every attempt, in virtual time
)

// benchAttempt is an attempt that the scheduler has started.
type benchAttempt struct {
	part    uint64
	replica uint32
}

// benchActions records the actions that the benchmark reacts to.
type benchActions struct {
	now      float64
	timerAt  float64
	sent     []benchAttempt
	answered int
}

func (a *benchActions) Send(part uint64, replica uint32, _ float64) {
	a.sent = append(a.sent, benchAttempt{part: part, replica: replica})
}

func (a *benchActions) Answer(uint64, bool)         { a.answered++ }
func (a *benchActions) SetTimer(afterMs float64)    { a.timerAt = a.now + afterMs }
func (a *benchActions) Cancel(uint64, int)          {}
func (a *benchActions) CloseIdleConnections(uint32) {}
func (a *benchActions) Reject(uint64, float64)      {}
func (a *benchActions) Fail(uint64)                 {}
func (a *benchActions) WatchEndpoints()             {}
func (a *benchActions) Log(string)                  {}

func newBenchScheduler(b *testing.B, actions scheduler.Actions) *scheduler.Scheduler {
	b.Helper()
	class := scheduler.Class{
		LatencyObjective:   1000,
		Deadline:           3000,
		PriorityWeight:     1,
		LateFactor:         0.3,
		Idempotency:        scheduler.Idempotent,
		MinCompleteness:    1,
		CompletenessTarget: 1,
	}
	s, err := scheduler.New(scheduler.Settings{
		Classes:         []scheduler.Class{class},
		BrokerCount:     1,
		TimerResolution: 1,
		Shards:          benchShards,
		Cells:           benchCells,
		CellsPerShard:   benchCellsPerShard,
		Placement:       shardmap.NewRingPlacement(benchShards, benchCells, benchCellsPerShard),
		MaxPartsPerCall: 4,
		CanCancel:       true,
		AllowHedging:    true,
		MaxAttempts:     4,
		MaxRetryAfter:   1000,
		DrainGrace:      1000,
		SlowStart:       scheduler.SlowStartSettings{InitialCapacity: 0.2, Duration: 15000, WorkMultiple: 4, Window: 1000},
		RetryBudget:     scheduler.RetryBudgetSettings{Spare: 5, Ratio: 0.05, Window: 2000},
	}, 1, actions)
	if err != nil {
		b.Fatal(err)
	}
	var endpoints []scheduler.Endpoint
	for i := range benchReplicas {
		endpoints = append(endpoints, scheduler.Endpoint{
			Replica: uint32(i + 1),
			Cell:    i % benchCells,
			State:   scheduler.Ready,
		})
	}
	s.EndpointsChanged(0, scheduler.UpdateFull, endpoints)
	return s
}

// BenchmarkScheduler measures one query of six parts with a healthy fleet: the query arrives, a round sends its
// parts, all of them are answered after 20 ms of virtual time, and another round follows. The seed is fixed and the
// shards follow from the number of the query, so every run takes the same decisions.
func BenchmarkScheduler(b *testing.B) {
	actions := &benchActions{timerAt: math.Inf(1)}
	s := newBenchScheduler(b, actions)
	now := 1000.0
	nextID := uint64(0)
	runRound := func() {
		actions.now = now
		if now >= actions.timerAt {
			actions.timerAt = math.Inf(1)
			s.TimerFired(now)
		}
		s.RunRound(now)
	}
	runQuery := func() {
		nextID++
		group := int(nextID)
		s.QueryArrived(now, scheduler.Query{ID: nextID, QueryGroup: group, Deadline: now + 3000})
		for i := range benchParts {
			nextID++
			s.PartArrived(now, scheduler.Part{
				ID:          nextID,
				QueryGroup:  group,
				Shard:       (group + i*11) % benchShards,
				Weight:      1.0 / benchParts,
				CostHint:    10,
				HasCostHint: true,
			})
		}
		actions.sent = actions.sent[:0]
		runRound()
		now += benchLatencyMs
		for _, a := range actions.sent {
			s.AttemptEnded(now, scheduler.AttemptResult{
				Part:    a.part,
				Replica: a.replica,
				Outcome: scheduler.Succeeded,
				Latency: benchLatencyMs,
			})
		}
		runRound()
	}

	queries := 0
	b.ReportAllocs()
	for b.Loop() {
		runQuery()
		queries++
	}
	if actions.answered != queries {
		b.Fatalf("%d of %d queries answered", actions.answered, queries)
	}
}
