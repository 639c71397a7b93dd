package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFastFailingReplicaIsLeftAndComesBack(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	n, bad := len(g.sends), 0
	run := func(fail bool) {
		for range 60 {
			g.query(0, 0)
			g.turn()
			g.pass(50, func(a *rigSend) {
				if a.replica == 1 && fail {
					g.end(a, Failed)
				} else if g.now >= a.at+40 {
					g.end(a, Succeeded)
				}
			})
		}
		bad = 0
		for _, a := range g.sends[n:] {
			if a.replica == 1 {
				bad++
			}
		}
		n = len(g.sends)
	}
	if run(true); bad > 8 {
		t.Fatalf("a replica that fails all its parts got %d of 60", bad)
	}
	run(false)
	if run(false); bad < 10 {
		t.Fatalf("after its recovery it gets %d of 60", bad)
	}
}

// What a replica does well for other classes does not clear it for parts that are lost by one failure.
func TestReplicaThatFailsOneClassAlone(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var failed, others int
	for range 100 {
		g.query(0, 0)
		g.query(0, 0)
		g.query(2, 0)
		g.turn()
		g.pass(100, func(a *rigSend) {
			if a.replica == 1 && a.part.q.q.Class == 2 {
				failed++
				g.end(a, Failed)
			} else if g.now >= a.at+40 {
				if a.replica == 1 {
					others++
				}
				g.end(a, Succeeded)
			}
		})
	}
	if failed > 3 || others < 20 {
		t.Fatalf("the replica failed %d parts of the class and served %d of others", failed, others)
	}
}

// A replica that fails and recovers by turns costs no query its answer, and is back in full use once it stays sound.
func TestFlappingReplicaComesBack(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	var asked []*rigQuery
	ask := func(n int, bad func() bool) (share float64) {
		from := len(g.sends)
		for i := 0; i < n; i++ {
			asked = append(asked, g.query(0, 0))
			g.turn()
			g.pass(200, func(a *rigSend) {
				if a.replica == 1 && bad() {
					g.end(a, Failed)
				} else if g.now >= a.at+90 {
					g.end(a, Succeeded)
				}
			})
		}
		for _, a := range g.sends[from:] {
			if a.replica == 1 {
				share++
			}
		}
		return share / float64(len(g.sends)-from)
	}
	if x := ask(150, func() bool { return int(g.now/3000)%2 == 0 }); x > 0.15 {
		t.Errorf("the flapping replica gets %v of the parts", x)
	}
	g.pass(500, g.after(90))
	for _, q := range asked {
		g.mustEnd(q, "answer")
	}
	g.pass(10000, nil)
	if x := ask(60, func() bool { return false }); x < 0.2 {
		t.Errorf("sound again, it gets only %v of the parts", x)
	}
}

// A slow replica is left by a busy co-ordinator and by one that sees a query every two seconds alike, and both come back.
func TestSlowReplicaIsLeftWithMuchAndWithLittleTraffic(t *testing.T) {
	for _, every := range []float64{50, 2000} {
		s := settings()
		s.BrokerCount = 60
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		slow := 800.0
		ask := func(n int) (share float64) {
			from := len(g.sends)
			for i := 0; i < n; i++ {
				g.query(0, 0)
				g.turn()
				g.pass(every, func(a *rigSend) {
					if ms := map[bool]float64{true: slow, false: 90}[a.replica == 1]; g.now >= a.at+ms {
						g.end(a, Succeeded)
					}
				})
			}
			for _, a := range g.sends[from:] {
				if a.replica == 1 {
					share++
				}
			}
			return share / float64(len(g.sends)-from)
		}
		ask(20)
		if x := ask(40); x > 0.07 {
			t.Errorf("a query every %v ms: the slow replica still gets %v of the parts", every, x)
		}
		slow = 90
		g.pass(20000, g.after(90))
		ask(20)
		if x := ask(60); x < 0.15 {
			t.Errorf("a query every %v ms: the sound replica gets only %v of the parts again", every, x)
		}
	}
}

// A reset of a connection in use tells of the process: it is lost, and cold when it serves again.
func TestResetInUseTellsOfTheReplica(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	g.query(0, 0)
	g.turn()
	a := g.open[0]
	g.pass(5, nil)
	g.end(a, ConnectionReset)
	if r := g.b.replicas.byID[a.replica]; g.b.isHealthy(g.now, r) || !r.outliers.isLost {
		t.Fatal("a process that died is used as before")
	}
}

// A replica that stood still for a moment may have one part as soon as what it held has come back, and is used as before
// once that comes back as usual. After each slow one the next waits longer.
func TestAStallIsOverWithTheFirstTrial(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[3]
	back := func(sent, x float64) {
		g.b.observeTrial(g.now, &attempt{replica: r, sentAt: sent}, x)
		r.excessLatency = decayingAverage{g.now, max(r.excessLatency.value, x-1)}
	}
	back(g.now-900, 30)
	back(g.now-700, 25)
	if !g.b.isHealthy(g.now, r) {
		t.Fatal("what it held has come back and it gets no trial")
	}
	r.inFlight = []*attempt{{part: &part{}, replica: r, call: &callInFlight{}, sentAt: g.now, overtaken: true}}
	if g.b.isHealthy(g.now, r) {
		t.Fatal("two parts at a replica on trial")
	}
	r.inFlight = nil
	for rest := trialRestParts; rest < 8*trialRestParts; rest *= 2 {
		g.now += badnessHalfLifeMaxMs // a slow one
		back(g.now-800, 20)
		if wait := r.outliers.trialAllowedAt - g.now; wait < 0.99*rest*g.b.meanPartWorkMs() || g.b.isHealthy(g.now, r) {
			t.Fatalf("the next trial %v ms after a slow one, %v at least", wait, rest*g.b.meanPartWorkMs())
		}
	}
	g.now = r.outliers.trialAllowedAt
	if !g.b.isHealthy(g.now, r) {
		t.Fatal("no trial after the rest")
	}
	g.b.observeTrial(g.now+1, &attempt{replica: r, sentAt: g.now}, 1.2)
	if r.outliers.slowTrials != 0 || g.b.normalizedLatency(g.now, r) > 1.3 {
		t.Fatalf("a part as usual leaves it at level %v after %d trials", g.b.normalizedLatency(g.now, r), r.outliers.slowTrials)
	}
}

// What a stall held may be cancelled, as the copies have answered, before it could come back: the replica gets its trial
// all the same, at doubling rests if it stays silent. What comes late out of a stall that a trial has ended does not make
// it wait, and a new process inherits neither the trials nor the rest.
func TestATrialAfterPartsThatWereCancelled(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	r := g.b.replicas.byID[3]
	silent := func(sent float64) {
		a := &attempt{replica: r, sentAt: sent, ended: true, part: &part{query: &query{class: &g.b.settings.Classes[0]}, cost: 1},
			call: &callInFlight{cost: 1}}
		g.b.learn(g.now, a, AttemptResult{Outcome: Cancelled})
	}
	silent(g.now - 30*g.b.latency.baseline)
	if level := g.b.normalizedLatency(g.now, r); level < ejectionLatency*g.b.latency.fleetLevel || !g.b.isHealthy(g.now, r) {
		t.Fatalf("at level %v, and it gets no trial", level)
	}
	for rest := trialRestParts; rest < 8*trialRestParts; rest *= 2 {
		g.now += badnessHalfLifeMaxMs
		silent(g.now - 30*g.b.latency.baseline)
		if wait := r.outliers.trialAllowedAt - g.now; wait < 0.99*rest*g.b.meanPartWorkMs() || wait > badnessHalfLifeMaxMs || g.b.isHealthy(g.now, r) {
			t.Fatalf("the next trial %v ms after a silent one, %v at least", wait, rest*g.b.meanPartWorkMs())
		}
	}
	g.b.observeTrial(r.outliers.trialAllowedAt+1, &attempt{replica: r, sentAt: r.outliers.trialAllowedAt}, 1.2)
	r.outliers.lastSlowAt = g.now
	g.b.observeTrial(g.now, &attempt{replica: r, sentAt: g.now - 500}, 20)
	if r.excessLatency.value = 19; !g.b.isHealthy(g.now, r) {
		t.Fatal("a part late out of a stall that is over bars the next trial")
	}
	silent(g.now + 1)
	silent(g.now + 1)
	e := r.Endpoint
	e.StartedAt = g.now
	g.list(UpdateDelta, e)
	if r.outliers.slowTrials != 0 || r.outliers.lastSlowAt != 0 || r.outliers.countedAsSlow {
		t.Fatalf("a new process begins with %d trials", r.outliers.slowTrials)
	}
}

// What a replica is to other co-ordinators is no evidence here: one that answers nothing from us alone leaves the choice, and
// is back in full use soon after it answers again. So does one that grows slower and slower, dies once and comes back.
func TestReplicasBadForUsAloneAndAgeingOnesComeBack(t *testing.T) {
	for name, bad := range map[string]func(g *rig, a *rigSend, since float64){
		"one-sided loss": func(*rig, *rigSend, float64) {},
		"ageing": func(g *rig, a *rigSend, since float64) {
			if since > 4000 {
				g.end(a, ConnectFailed)
			} else if g.now >= a.at+100+since/3 {
				g.end(a, Succeeded)
			}
		},
	} {
		s := settings()
		s.BrokerCount = 30
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		ask := func(ms float64, reply func(*rigSend)) (sent, failed int) {
			before, start := len(g.sends), g.now
			var qs []*rigQuery
			for i := 0; g.now < start+ms; i++ {
				qs = append(qs, g.query(0, i%6), g.query(0, (i+3)%6))
				g.turn()
				g.pass(50, reply)
			}
			for _, a := range g.sends[before:] {
				if a.replica == 3 {
					sent++
				}
			}
			for _, q := range qs {
				if q.how != "answer" && q.finished > 0 {
					failed++
				}
			}
			return sent, failed
		}
		start := g.now
		ill := func(a *rigSend) {
			if a.replica == 3 {
				bad(g, a, g.now-start)
			} else if g.now >= a.at+100 {
				g.end(a, Succeeded)
			}
		}
		usual, _ := ask(3000, g.after(100))
		start = g.now
		ask(5000, ill)
		sent, failed := ask(3000, ill)
		if sent > usual/3 || failed > 6 {
			t.Errorf("%s: %d parts to it (%d before), %d of 120 queries failed", name, sent, usual, failed)
		}
		ask(20000, g.after(100)) // it may be a new process, cold for 15 s
		if sent, failed = ask(3000, g.after(100)); sent < usual/2 || failed > 0 {
			t.Errorf("%s: back to %d parts of %d twenty seconds after, %d queries failed", name, sent, usual, failed)
		}
	}
}

// TestSameSuspicionAtOnce: 80 co-ordinators see one sound replica stand still for 400 ms at the same moment. All leave it;
// it is not left for long, and they do not come back to it all at once.
func TestSameSuspicionAtOnce(t *testing.T) {
	f := newFleet(t, 80)
	f.run(5000, 60, 6)
	r := f.replicas[0]
	per := func(ms float64) float64 { // parts sent to it in so long, by what a neighbour gets
		r.sent, f.replicas[3].sent = 0, 0
		f.run(ms, 60, 6)
		return float64(r.sent) / max(1, float64(f.replicas[3].sent))
	}
	before := per(2000)
	r.busy = f.now + 400
	_ = per(1000)
	back, most := -1, 0.0
	for i := range 12 {
		x := per(500)
		if most = max(most, x); back < 0 && x > 0.5*before {
			back = i
		}
	}
	t.Logf("%.2f of a neighbour's before, back to half of that %d ms after, %.2f at most", before, back*500, most)
	assert.True(t, back >= 0 && back <= 6, "left for %d half seconds", back)
	assert.Less(t, most, 2.5*before, "all came back at once")
}
