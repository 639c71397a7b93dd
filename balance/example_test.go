package balance_test

import (
	"fmt"

	"ternstage/balance"
	"ternstage/internal/slicemap"
)

// printer carries out the module's actions by printing them.
type printer struct{ sent []uint64 }

func (p *printer) Send(part uint64, replica uint32, timeout float64) {
	fmt.Printf("send part %d, time-out %.0f ms\n", part, timeout)
	p.sent = append(p.sent, uint64(replica))
}
func (p *printer) Cancel(part uint64, attempt int)    {}
func (p *printer) Answer(query uint64, whole bool)    { fmt.Println("answer", query, "whole:", whole) }
func (p *printer) Refuse(query uint64, after float64) { fmt.Println("refuse", query) }
func (p *printer) Fail(query uint64)                  { fmt.Println("fail", query) }
func (p *printer) Wake(after float64)                 {}
func (p *printer) Watch()                             {}
func (p *printer) DropIdle(replica uint32)            {}
func (p *printer) Log(text string)                    {}

// A co-ordinator of one class of queries over two shards, each held by both of two replicas.
func Example() {
	out := &printer{}
	b, err := balance.New(balance.Settings{
		Classes: []balance.Class{{Aim: 500, Deadline: 1000, Worth: 1, Floor: 1, Need: 1}},
		Shards:  2, Cells: 2, Reach: 2, Layout: slicemap.NewFixed(2, 2, 2), SecondCopies: true, MaxAttempts: 3, MaxRetryAfter: 1000, Tick: 1,
	}, 1, out)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.ListChanged(0, balance.ListFull, []balance.Entry{
		{Replica: 10, Cell: 0, State: balance.Ready}, {Replica: 11, Cell: 1, State: balance.Ready}})
	b.QueryArrived(0, balance.Query{ID: 1, Group: 1, Deadline: 1000})
	b.PartArrived(0, balance.Part{ID: 2, Group: 1, Shard: 0, Weight: 0.5})
	b.PartArrived(0, balance.Part{ID: 3, Group: 1, Shard: 1, Weight: 0.5})
	b.EndTurn(0)
	for i, replica := range out.sent {
		b.AttemptEnded(20, balance.Result{Part: uint64(2 + i), Replica: uint32(replica), Outcome: balance.OK, Latency: 20})
	}
	b.EndTurn(20)
	// Output:
	// send part 2, time-out 500 ms
	// send part 3, time-out 500 ms
	// answer 1 whole: true
}
