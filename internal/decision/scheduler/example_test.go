package scheduler_test

import (
	"fmt"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// printActions prints the actions of the scheduler and records the replicas that parts were sent to.
type printActions struct{ sentTo []uint32 }

func (p *printActions) Send(part uint64, replica uint32, timeoutMs float64) {
	fmt.Printf("send part %d, timeout %.0f ms\n", part, timeoutMs)
	p.sentTo = append(p.sentTo, replica)
}

func (p *printActions) Answer(query uint64, complete bool) {
	fmt.Printf("answer query %d, complete: %v\n", query, complete)
}

func (p *printActions) Reject(query uint64, _ float64) { fmt.Println("reject query", query) }
func (p *printActions) Fail(query uint64)              { fmt.Println("fail query", query) }
func (p *printActions) Cancel(uint64, int)             {}
func (p *printActions) CloseIdleConnections(uint32)    {}
func (p *printActions) SetTimer(float64)               {}
func (p *printActions) WatchEndpoints()                {}
func (p *printActions) Log(string)                     {}

// This example runs a broker with one class of queries and two shards. Two replicas hold both shards.
func Example() {
	actions := &printActions{}
	class := scheduler.Class{
		LatencyObjective:   500,
		Deadline:           1000,
		PriorityWeight:     1,
		MinCompleteness:    1,
		CompletenessTarget: 1,
	}
	s, err := scheduler.New(scheduler.Settings{
		Classes:         []scheduler.Class{class},
		Shards:          2,
		Cells:           2,
		CellsPerShard:   2,
		Placement:       shardmap.NewRingPlacement(2, 2, 2),
		AllowHedging:    true,
		MaxAttempts:     3,
		MaxRetryAfter:   1000,
		TimerResolution: 1,
	}, 1, actions)
	if err != nil {
		fmt.Println(err)
		return
	}
	s.EndpointsChanged(0, scheduler.UpdateFull, []scheduler.Endpoint{
		{Replica: 10, Cell: 0, State: scheduler.Ready},
		{Replica: 11, Cell: 1, State: scheduler.Ready},
	})
	s.QueryArrived(0, scheduler.Query{ID: 1, QueryGroup: 1, Deadline: 1000})
	s.PartArrived(0, scheduler.Part{ID: 2, QueryGroup: 1, Shard: 0, Weight: 0.5})
	s.PartArrived(0, scheduler.Part{ID: 3, QueryGroup: 1, Shard: 1, Weight: 0.5})
	s.RunRound(0)
	for i, replica := range actions.sentTo {
		s.AttemptEnded(20, scheduler.AttemptResult{
			Part:    uint64(2 + i),
			Replica: replica,
			Outcome: scheduler.Succeeded,
			Latency: 20,
		})
	}
	s.RunRound(20)
	// Output:
	// send part 2, timeout 500 ms
	// send part 3, timeout 500 ms
	// answer query 1, complete: true
}
