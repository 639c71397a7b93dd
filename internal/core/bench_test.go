package core_test

import (
	"fmt"
	"testing"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/wire"
)

// benchFixture is a broker whose nodes answer at once. It uses nothing that earlier versions have not, so that the same
// file measures them.
type benchFixture struct {
	now      float64
	inFlight []*core.Attempt
	answers  int
}

func (b *benchFixture) Now() float64                            { return b.now }
func (b *benchFixture) WakeAt(float64)                          {}
func (b *benchFixture) SchedulerLine(string)                    {}
func (b *benchFixture) RequestEnded(*core.Request, core.Answer) {}
func (b *benchFixture) Watch()                                  {}
func (b *benchFixture) Send(a *core.Attempt)                    { b.inFlight = append(b.inFlight, a) }
func (b *benchFixture) Flush()                                  {}
func (b *benchFixture) Abandon(*core.Attempt) (never bool)      { return false }
func (b *benchFixture) Withdraw(*core.Attempt) bool             { return false }
func (b *benchFixture) CloseIdleConnections(uint32)             {}
func (b *benchFixture) Finish(core.Answer)                      { b.answers++ }

func newBenchFixture(b *testing.B, shards int) (*benchFixture, *core.Core) {
	s, err := wire.ParseSettings(fmt.Appendf(nil, `{"balancers":2,"me":0,"resolution_ms":5,"categories":[{"aim_ms":300,
		"deadline_ms":3000,"effect":"read_like","worth":1,"late_worth":0.3}],"domain":{"complete_from":[1],"min_share":[1],
		"incomplete_worth":[0],"fetch_parts":[0],"per_call":1,"sets":12,"slices":%d,"width":3},
		"invariants":{"drain_grace_ms":1000},"limits":{"cancel":true,"try_limit":4}}`, shards))
	if err != nil {
		b.Fatal(err)
	}
	x := &benchFixture{now: 1e6}
	c, err := core.New(s, 7, core.Options{Clock: x, Log: x})
	if err != nil {
		b.Fatal(err)
	}
	c.Attach(x, x)
	var es []scheduler.Endpoint
	for i := range 12 {
		es = append(es, scheduler.Endpoint{Replica: uint32(i + 1), Cell: i, State: scheduler.Ready})
	}
	c.EndpointsChanged(scheduler.UpdateFull, es)
	c.RunRound()
	return x, c
}

func (x *benchFixture) submit(b *testing.B, c *core.Core, i, parts, shards int) {
	r := &core.Request{ID: fmt.Sprint(i), Deadline: x.now + 3000, Client: x, Query: []byte("x")}
	for j := range parts {
		r.Parts = append(r.Parts, core.Part{Shard: (i*7 + j) % shards, Weight: 1 / float64(parts), CostHint: 10,
			HasCostHint: true})
	}
	if err := c.Submit(r); err != nil {
		b.Fatal(err)
	}
}

// BenchmarkQuery is the whole path of a query of four parts: taken, sent, answered. 20 others are out.
func BenchmarkQuery(b *testing.B) {
	x, c := newBenchFixture(b, 24)
	b.ReportAllocs()
	for i := range b.N {
		x.now += 2
		x.submit(b, c, i, 4, 24)
		c.RunRound()
		for len(x.inFlight) > 80 {
			c.AttemptEnded(x.inFlight[0], scheduler.Succeeded, []byte("v"))
			x.inFlight = x.inFlight[1:]
		}
		c.RunRound()
	}
}

// BenchmarkRunRound is a turn with 100 queries held, of one part each that is out, by the number of slices.
func BenchmarkRunRound(b *testing.B) {
	for _, shards := range []int{24, 1000, 100_000} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			x, c := newBenchFixture(b, shards)
			for i := 0; i < 2000 || c.OpenRequests() < 100; i++ {
				x.now += 5
				x.submit(b, c, i, 1, shards)
				c.RunRound()
				for i < 2000 && len(x.inFlight) > 0 { // the replicas are known to carry much
					if len(x.inFlight) < 100 && i%150 != 0 {
						break
					}
					c.AttemptEnded(x.inFlight[0], scheduler.Succeeded, []byte("v"))
					x.inFlight = x.inFlight[1:]
				}
				if i == 2000 {
					c.RunRound()
				}
				if i > 4000 {
					b.Fatal(c.OpenRequests())
				}
			}
			b.ResetTimer()
			for range b.N {
				c.RunRound()
			}
			b.ReportMetric(float64(c.OpenRequests()), "held")
		})
	}
}
