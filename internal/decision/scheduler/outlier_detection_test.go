package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFailingReplicaIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	n, bad := len(h.sent), 0
	run := func(fail bool) {
		for range 60 {
			h.submit(0, 0)
			h.runRound()
			h.advance(50, func(a *sentAttempt) {
				if a.replica == 1 && fail {
					h.endAttempt(a, Failed)
				} else if h.now >= a.sentAt+40 {
					h.endAttempt(a, Succeeded)
				}
			})
		}
		bad = 0
		for _, a := range h.sent[n:] {
			if a.replica == 1 {
				bad++
			}
		}
		n = len(h.sent)
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
func TestNonIdempotentFailuresAreNotClearedByOtherClasses(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var failed, others int
	for range 100 {
		h.submit(0, 0)
		h.submit(0, 0)
		h.submit(2, 0)
		h.runRound()
		h.advance(100, func(a *sentAttempt) {
			if a.replica == 1 && a.part.query.Query.Class == 2 {
				failed++
				h.endAttempt(a, Failed)
			} else if h.now >= a.sentAt+40 {
				if a.replica == 1 {
					others++
				}
				h.endAttempt(a, Succeeded)
			}
		})
	}
	if failed > 3 || others < 20 {
		t.Fatalf("the replica failed %d parts of the class and served %d of others", failed, others)
	}
}

// A replica that fails and recovers by turns costs no query its answer, and is back in full use once it stays sound.
func TestFlappingReplicaCostsNoAnswers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var asked []*testQuery
	ask := func(n int, bad func() bool) (share float64) {
		from := len(h.sent)
		for i := 0; i < n; i++ {
			asked = append(asked, h.submit(0, 0))
			h.runRound()
			h.advance(200, func(a *sentAttempt) {
				if a.replica == 1 && bad() {
					h.endAttempt(a, Failed)
				} else if h.now >= a.sentAt+90 {
					h.endAttempt(a, Succeeded)
				}
			})
		}
		for _, a := range h.sent[from:] {
			if a.replica == 1 {
				share++
			}
		}
		return share / float64(len(h.sent)-from)
	}
	if x := ask(150, func() bool { return int(h.now/3000)%2 == 0 }); x > 0.15 {
		t.Errorf("the flapping replica gets %v of the parts", x)
	}
	h.advance(500, h.replyAfter(90))
	for _, q := range asked {
		h.requireEnd(q, "answer")
	}
	h.advance(10000, nil)
	if x := ask(60, func() bool { return false }); x < 0.2 {
		t.Errorf("sound again, it gets only %v of the parts", x)
	}
}

// A slow replica is left by a busy co-ordinator and by one that sees a query every two seconds alike, and both come back.
func TestSlowReplicaIsEjectedAtAnyTrafficRate(t *testing.T) {
	for _, every := range []float64{50, 2000} {
		settings := testSettings()
		settings.BrokerCount = 60
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		slow := 800.0
		ask := func(n int) (share float64) {
			from := len(h.sent)
			for i := 0; i < n; i++ {
				h.submit(0, 0)
				h.runRound()
				h.advance(every, func(a *sentAttempt) {
					if ms := map[bool]float64{true: slow, false: 90}[a.replica == 1]; h.now >= a.sentAt+ms {
						h.endAttempt(a, Succeeded)
					}
				})
			}
			for _, a := range h.sent[from:] {
				if a.replica == 1 {
					share++
				}
			}
			return share / float64(len(h.sent)-from)
		}
		ask(20)
		if x := ask(40); x > 0.07 {
			t.Errorf("a query every %v ms: the slow replica still gets %v of the parts", every, x)
		}
		slow = 90
		h.advance(20000, h.replyAfter(90))
		ask(20)
		if x := ask(60); x < 0.15 {
			t.Errorf("a query every %v ms: the sound replica gets only %v of the parts again", every, x)
		}
	}
}

// A reset of a connection in use tells of the process: it is lost, and cold when it serves again.
func TestResetOfBusyConnectionMarksReplicaLost(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.submit(0, 0)
	h.runRound()
	a := h.inFlight[0]
	h.advance(5, nil)
	h.endAttempt(a, ConnectionReset)
	if r := h.scheduler.replicas.byID[a.replica]; h.scheduler.isHealthy(h.now, r) || !r.outliers.isLost {
		t.Fatal("a process that died is used as before")
	}
}

// A replica that stood still for a moment may have one part as soon as what it held has come back, and is used as before
// once that comes back as usual. After each slow one the next waits longer.
func TestSuccessfulTrialEndsEjection(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	r := h.scheduler.replicas.byID[3]
	back := func(sent, x float64) {
		h.scheduler.observeTrial(h.now, &attempt{replica: r, sentAt: sent}, x)
		r.excessLatency = decayingAverage{h.now, max(r.excessLatency.value, x-1)}
	}
	back(h.now-900, 30)
	back(h.now-700, 25)
	if !h.scheduler.isHealthy(h.now, r) {
		t.Fatal("what it held has come back and it gets no trial")
	}
	r.inFlight = []*attempt{{part: &part{}, replica: r, call: &callInFlight{}, sentAt: h.now, overtaken: true}}
	if h.scheduler.isHealthy(h.now, r) {
		t.Fatal("two parts at a replica on trial")
	}
	r.inFlight = nil
	for rest := trialRestParts; rest < 8*trialRestParts; rest *= 2 {
		h.now += badnessHalfLifeMaxMs // a slow one
		back(h.now-800, 20)
		if wait := r.outliers.trialAllowedAt - h.now; wait < 0.99*rest*h.scheduler.meanPartWorkMs() || h.scheduler.isHealthy(h.now, r) {
			t.Fatalf("the next trial %v ms after a slow one, %v at least", wait, rest*h.scheduler.meanPartWorkMs())
		}
	}
	h.now = r.outliers.trialAllowedAt
	if !h.scheduler.isHealthy(h.now, r) {
		t.Fatal("no trial after the rest")
	}
	h.scheduler.observeTrial(h.now+1, &attempt{replica: r, sentAt: h.now}, 1.2)
	if r.outliers.slowTrials != 0 || h.scheduler.normalizedLatency(h.now, r) > 1.3 {
		t.Fatalf("a part as usual leaves it at level %v after %d trials", h.scheduler.normalizedLatency(h.now, r), r.outliers.slowTrials)
	}
}

// What a stall held may be cancelled, as the copies have answered, before it could come back: the replica gets its trial
// all the same, at doubling rests if it stays silent. What comes late out of a stall that a trial has ended does not make
// it wait, and a new process inherits neither the trials nor the rest.
func TestCancelledAttemptsLeadToTrial(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	r := h.scheduler.replicas.byID[3]
	silent := func(sent float64) {
		a := &attempt{replica: r, sentAt: sent, ended: true, part: &part{query: &query{class: &h.scheduler.settings.Classes[0]}, cost: 1},
			call: &callInFlight{cost: 1}}
		h.scheduler.learn(h.now, a, AttemptResult{Outcome: Cancelled})
	}
	silent(h.now - 30*h.scheduler.latency.baseline)
	if level := h.scheduler.normalizedLatency(h.now, r); level < ejectionLatency*h.scheduler.latency.fleetLevel || !h.scheduler.isHealthy(h.now, r) {
		t.Fatalf("at level %v, and it gets no trial", level)
	}
	for rest := trialRestParts; rest < 8*trialRestParts; rest *= 2 {
		h.now += badnessHalfLifeMaxMs
		silent(h.now - 30*h.scheduler.latency.baseline)
		if wait := r.outliers.trialAllowedAt - h.now; wait < 0.99*rest*h.scheduler.meanPartWorkMs() || wait > badnessHalfLifeMaxMs || h.scheduler.isHealthy(h.now, r) {
			t.Fatalf("the next trial %v ms after a silent one, %v at least", wait, rest*h.scheduler.meanPartWorkMs())
		}
	}
	h.scheduler.observeTrial(r.outliers.trialAllowedAt+1, &attempt{replica: r, sentAt: r.outliers.trialAllowedAt}, 1.2)
	r.outliers.lastSlowAt = h.now
	h.scheduler.observeTrial(h.now, &attempt{replica: r, sentAt: h.now - 500}, 20)
	if r.excessLatency.value = 19; !h.scheduler.isHealthy(h.now, r) {
		t.Fatal("a part late out of a stall that is over bars the next trial")
	}
	silent(h.now + 1)
	silent(h.now + 1)
	e := r.Endpoint
	e.StartedAt = h.now
	h.updateEndpoints(UpdateDelta, e)
	if r.outliers.slowTrials != 0 || r.outliers.lastSlowAt != 0 || r.outliers.countedAsSlow {
		t.Fatalf("a new process begins with %d trials", r.outliers.slowTrials)
	}
}

// What a replica is to other co-ordinators is no evidence here: one that answers nothing from us alone leaves the choice, and
// is back in full use soon after it answers again. So does one that grows slower and slower, dies once and comes back.
func TestUnresponsiveAndDegradingReplicasAreReadmitted(t *testing.T) {
	for name, bad := range map[string]func(h *harness, a *sentAttempt, since float64){
		"one-sided loss": func(*harness, *sentAttempt, float64) {},
		"ageing": func(h *harness, a *sentAttempt, since float64) {
			if since > 4000 {
				h.endAttempt(a, ConnectFailed)
			} else if h.now >= a.sentAt+100+since/3 {
				h.endAttempt(a, Succeeded)
			}
		},
	} {
		settings := testSettings()
		settings.BrokerCount = 30
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		ask := func(ms float64, reply func(*sentAttempt)) (sent, failed int) {
			before, start := len(h.sent), h.now
			var queries []*testQuery
			for i := 0; h.now < start+ms; i++ {
				queries = append(queries, h.submit(0, i%6), h.submit(0, (i+3)%6))
				h.runRound()
				h.advance(50, reply)
			}
			for _, a := range h.sent[before:] {
				if a.replica == 3 {
					sent++
				}
			}
			for _, q := range queries {
				if q.end != "answer" && q.endedAt > 0 {
					failed++
				}
			}
			return sent, failed
		}
		start := h.now
		ill := func(a *sentAttempt) {
			if a.replica == 3 {
				bad(h, a, h.now-start)
			} else if h.now >= a.sentAt+100 {
				h.endAttempt(a, Succeeded)
			}
		}
		usual, _ := ask(3000, h.replyAfter(100))
		start = h.now
		ask(5000, ill)
		sent, failed := ask(3000, ill)
		if sent > usual/3 || failed > 6 {
			t.Errorf("%s: %d parts to it (%d before), %d of 120 queries failed", name, sent, usual, failed)
		}
		ask(20000, h.replyAfter(100)) // it may be a new process, cold for 15 s
		if sent, failed = ask(3000, h.replyAfter(100)); sent < usual/2 || failed > 0 {
			t.Errorf("%s: back to %d parts of %d twenty seconds after, %d queries failed", name, sent, usual, failed)
		}
	}
}

// TestSimultaneousEjectionDoesNotSynchronizeBrokers: 80 co-ordinators see one sound replica stand still for 400 ms at the same moment. All leave it;
// it is not left for long, and they do not come back to it all at once.
func TestSimultaneousEjectionDoesNotSynchronizeBrokers(t *testing.T) {
	f := newFleetModel(t, 80)
	f.run(5000, 60, 6)
	r := f.replicas[0]
	per := func(ms float64) float64 { // parts sent to it in so long, by what a neighbour gets
		r.attempts, f.replicas[3].attempts = 0, 0
		f.run(ms, 60, 6)
		return float64(r.attempts) / max(1, float64(f.replicas[3].attempts))
	}
	before := per(2000)
	r.busyUntil = f.now + 400
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
