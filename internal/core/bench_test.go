package core_test

import (
	"fmt"
	"testing"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/transport/simwire"
)

// benchFixture is a broker with fixed placement. It is also the broker's transport, endpoint list, clock, log and
// client.
type benchFixture struct {
	b        *testing.B
	core     *core.Core
	shards   int
	now      float64
	inFlight []*core.Attempt
	answers  int
}

func (f *benchFixture) Now() float64                            { return f.now }
func (f *benchFixture) WakeAt(float64)                          {}
func (f *benchFixture) SchedulerLine(string)                    {}
func (f *benchFixture) RequestEnded(*core.Request, core.Answer) {}
func (f *benchFixture) Watch()                                  {}
func (f *benchFixture) Send(attempt *core.Attempt)              { f.inFlight = append(f.inFlight, attempt) }
func (f *benchFixture) Flush()                                  {}
func (f *benchFixture) Abandon(*core.Attempt) (neverRan bool)   { return false }
func (f *benchFixture) Withdraw(*core.Attempt) bool             { return false }
func (f *benchFixture) CloseIdleConnections(uint32)             {}
func (f *benchFixture) Deliver(core.Answer)                     { f.answers++ }

func newBenchFixture(b *testing.B, shards int) *benchFixture {
	b.Helper()
	settings, err := simwire.ParseSettings(fmt.Appendf(nil, `{"balancers":2,"me":0,"resolution_ms":5,"categories":[{
		"aim_ms":300,"deadline_ms":3000,"effect":"read_like","worth":1,"late_worth":0.3}],
		"domain":{"complete_from":[1],"min_share":[1],"incomplete_worth":[0],"fetch_parts":[0],"per_call":1,"sets":12,"slices":%d,"width":3},
		"invariants":{"drain_grace_ms":1000},"limits":{"cancel":true,"try_limit":4}}`, shards))
	if err != nil {
		b.Fatal(err)
	}
	f := &benchFixture{b: b, shards: shards, now: 1e6}
	f.core, err = core.New(settings, 7, core.Options{Clock: f, Log: f})
	if err != nil {
		b.Fatal(err)
	}
	f.core.Attach(f, f)
	var endpoints []scheduler.Endpoint
	for i := range 12 {
		endpoints = append(endpoints, scheduler.Endpoint{Replica: uint32(i + 1), Cell: i, State: scheduler.Ready})
	}
	f.core.EndpointsChanged(scheduler.UpdateFull, endpoints)
	f.core.RunRound()
	return f
}

// submit submits the i-th request, with the given number of parts.
func (f *benchFixture) submit(i, partCount int) {
	request := &core.Request{ID: fmt.Sprint(i), Deadline: f.now + 3000, Client: f, Payload: []byte("x")}
	for j := range partCount {
		request.Parts = append(request.Parts, core.Part{Shard: (i*7 + j) % f.shards, Weight: 1 / float64(partCount),
			CostHint: 10, HasCostHint: true})
	}
	if err := f.core.Submit(request); err != nil {
		f.b.Fatal(err)
	}
}

// succeedFirst ends the oldest attempt in flight with success.
func (f *benchFixture) succeedFirst() {
	f.core.AttemptEnded(f.inFlight[0], scheduler.Succeeded, []byte("v"))
	f.inFlight = f.inFlight[1:]
}

// BenchmarkQuery measures a request of four parts from Submit to its answer, with 20 other requests in flight.
func BenchmarkQuery(b *testing.B) {
	broker := newBenchFixture(b, 24)
	b.ReportAllocs()
	for i := range b.N {
		broker.now += 2
		broker.submit(i, 4)
		broker.core.RunRound()
		for len(broker.inFlight) > 80 {
			broker.succeedFirst()
		}
		broker.core.RunRound()
	}
}

// BenchmarkRunRound measures a scheduling round with 100 requests of one part each in flight, by number of shards.
func BenchmarkRunRound(b *testing.B) {
	for _, shards := range []int{24, 1000, 100_000} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			broker := newBenchFixture(b, shards)
			broker.fill()
			b.ResetTimer()
			for range b.N {
				broker.core.RunRound()
			}
			b.ReportMetric(float64(broker.core.OpenRequests()), "open")
		})
	}
}

// fill leaves 100 requests in flight. Before that, 2000 requests are answered, so that the scheduler has learnt that
// the replicas can serve that many.
func (f *benchFixture) fill() {
	const answeredCount, openCount, maxSubmitted = 2000, 100, 4000
	for i := 0; i < answeredCount || f.core.OpenRequests() < openCount; i++ {
		f.now += 5
		f.submit(i, 1)
		f.core.RunRound()
		for i < answeredCount && len(f.inFlight) > 0 {
			if len(f.inFlight) < openCount && i%150 != 0 {
				break
			}
			f.succeedFirst()
		}
		if i == answeredCount {
			f.core.RunRound()
		}
		if i > maxSubmitted {
			f.b.Fatalf("%d requests are open after %d were submitted", f.core.OpenRequests(), i+1)
		}
	}
}
