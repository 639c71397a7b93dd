package scheduler_test

import (
	"fmt"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// printer carries out the module's actions by printing them.
type printer struct{ sent []uint64 }

func (p *printer) Send(part uint64, replica uint32, timeout float64) {
	fmt.Printf("send part %d, time-out %.0f ms\n", part, timeout)
	p.sent = append(p.sent, uint64(replica))
}
func (p *printer) Cancel(part uint64, attempt int)     {}
func (p *printer) Answer(query uint64, whole bool)     { fmt.Println("answer", query, "whole:", whole) }
func (p *printer) Reject(query uint64, after float64)  { fmt.Println("refuse", query) }
func (p *printer) Fail(query uint64)                   { fmt.Println("fail", query) }
func (p *printer) SetTimer(after float64)              {}
func (p *printer) WatchEndpoints()                     {}
func (p *printer) CloseIdleConnections(replica uint32) {}
func (p *printer) Log(text string)                     {}

// A co-ordinator of one class of queries over two shards, each held by both of two replicas.
func Example() {
	out := &printer{}
	b, err := scheduler.New(scheduler.Settings{
		Classes: []scheduler.Class{{LatencyObjective: 500, Deadline: 1000, PriorityWeight: 1, MinCompleteness: 1, CompletenessTarget: 1}},
		Shards:  2, Cells: 2, CellsPerShard: 2, Placement: slicemap.NewRingPlacement(2, 2, 2), AllowHedging: true, MaxAttempts: 3, MaxRetryAfter: 1000, TimerResolution: 1,
	}, 1, out)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.EndpointsChanged(0, scheduler.UpdateFull, []scheduler.Endpoint{
		{Replica: 10, Cell: 0, State: scheduler.Ready}, {Replica: 11, Cell: 1, State: scheduler.Ready}})
	b.QueryArrived(0, scheduler.Query{ID: 1, QueryGroup: 1, Deadline: 1000})
	b.PartArrived(0, scheduler.Part{ID: 2, QueryGroup: 1, Shard: 0, Weight: 0.5})
	b.PartArrived(0, scheduler.Part{ID: 3, QueryGroup: 1, Shard: 1, Weight: 0.5})
	b.RunRound(0)
	for i, replica := range out.sent {
		b.AttemptEnded(20, scheduler.AttemptResult{Part: uint64(2 + i), Replica: uint32(replica), Outcome: scheduler.Succeeded, Latency: 20})
	}
	b.RunRound(20)
	// Output:
	// send part 2, time-out 500 ms
	// send part 3, time-out 500 ms
	// answer 1 whole: true
}
