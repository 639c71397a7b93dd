package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFailingReplicaIsEjectedAndReadmitted guarantees that a replica that fails all its parts gets few of them, and
// its share again once it is sound.
func TestFailingReplicaIsEjectedAndReadmitted(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	sentToReplica1 := func(isFailing bool) int {
		before := len(h.sent)
		for range 60 {
			h.submit(classDefault, 0)
			h.runRound()
			h.advance(50, func(a *sentAttempt) {
				if a.replica == 1 && isFailing {
					h.endAttempt(a, Failed)
				} else if h.now >= a.sentAt+40 {
					h.endAttempt(a, Succeeded)
				}
			})
		}
		return countSentTo(1, h.sent[before:])
	}
	sent := sentToReplica1(true)
	if sent > 8 {
		t.Fatalf("%d of 60 parts sent to a failing replica, want 8 at most", sent)
	}
	sentToReplica1(false)
	sent = sentToReplica1(false)
	if sent < 10 {
		t.Fatalf("%d of 60 parts sent to the replica after its recovery, want 10 at least", sent)
	}
}

// TestNonIdempotentFailuresAreNotClearedByOtherClasses guarantees that a replica that fails one class alone is
// avoided by it. One failure loses a non-idempotent part, and successes of other classes say nothing about it.
func TestNonIdempotentFailuresAreNotClearedByOtherClasses(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	failed := 0
	served := 0
	for range 100 {
		h.submit(classDefault, 0)
		h.submit(classDefault, 0)
		h.submit(classNonIdempotent, 0)
		h.runRound()
		h.advance(100, func(a *sentAttempt) {
			if a.replica == 1 && a.part.query.Query.Class == classNonIdempotent {
				failed++
				h.endAttempt(a, Failed)
			} else if h.now >= a.sentAt+40 {
				if a.replica == 1 {
					served++
				}
				h.endAttempt(a, Succeeded)
			}
		})
	}
	if failed > 3 || served < 20 {
		t.Fatalf("the replica failed %d parts of the class and served %d of others", failed, served)
	}
}

// TestFlappingReplicaCostsNoAnswers guarantees that a replica that fails and recovers every few seconds costs no
// query its answer, and is back in full use once it stays sound.
func TestFlappingReplicaCostsNoAnswers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var queries []*testQuery
	// shareOfReplica1 is its share of the parts that are sent for so many queries.
	shareOfReplica1 := func(count int, isFailing func() bool) float64 {
		before := len(h.sent)
		for range count {
			queries = append(queries, h.submit(classDefault, 0))
			h.runRound()
			h.advance(200, func(a *sentAttempt) {
				if a.replica == 1 && isFailing() {
					h.endAttempt(a, Failed)
				} else if h.now >= a.sentAt+90 {
					h.endAttempt(a, Succeeded)
				}
			})
		}
		return float64(countSentTo(1, h.sent[before:])) / float64(len(h.sent)-before)
	}
	share := shareOfReplica1(150, func() bool { return int(h.now/3000)%2 == 0 })
	if share > 0.15 {
		t.Errorf("the flapping replica got %v of the parts, want 0.15 at most", share)
	}
	h.advance(500, h.replyAfter(90))
	for _, q := range queries {
		h.requireEnd(q, endAnswer)
	}
	h.advance(10000, nil)
	share = shareOfReplica1(60, func() bool { return false })
	if share < 0.2 {
		t.Errorf("the replica got %v of the parts after its recovery, want 0.2 at least", share)
	}
}

// TestSlowReplicaIsEjectedAtAnyTrafficRate guarantees that a slow replica is avoided by a busy broker and by one that
// gets a query every two seconds alike, and that both use it again once it is fast.
func TestSlowReplicaIsEjectedAtAnyTrafficRate(t *testing.T) {
	for _, intervalMs := range []float64{50, 2000} {
		settings := testSettings()
		settings.BrokerCount = 60
		h := newHarness(t, settings)
		h.listFleet(UpdateFull)
		h.learnBaseline()
		latencyOfReplica1 := 800.0
		shareOfReplica1 := func(count int) float64 {
			before := len(h.sent)
			for range count {
				h.submit(classDefault, 0)
				h.runRound()
				h.advance(intervalMs, func(a *sentAttempt) {
					latency := 90.0
					if a.replica == 1 {
						latency = latencyOfReplica1
					}
					h.replyAfter(latency)(a)
				})
			}
			return float64(countSentTo(1, h.sent[before:])) / float64(len(h.sent)-before)
		}
		shareOfReplica1(20)
		share := shareOfReplica1(40)
		if share > 0.07 {
			t.Errorf("a query every %v ms: the slow replica got %v of the parts, want 0.07 at most", intervalMs, share)
		}
		latencyOfReplica1 = 90
		h.advance(20000, h.replyAfter(90))
		shareOfReplica1(20)
		share = shareOfReplica1(60)
		if share < 0.15 {
			t.Errorf("a query every %v ms: the recovered replica got %v of the parts, want 0.15 at least", intervalMs, share)
		}
	}
}

// TestResetOfBusyConnectionMarksReplicaLost guarantees that the reset of a connection in use counts against the
// replica: its process has died, and a new one will be warming up.
func TestResetOfBusyConnectionMarksReplicaLost(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	h.submit(classDefault, 0)
	h.runRound()
	a := h.inFlight[0]
	h.advance(5, nil)
	h.endAttempt(a, ConnectionReset)
	r := h.scheduler.replicas.byID[a.replica]
	if h.scheduler.isHealthy(h.now, r) || !r.outliers.isUnreachable {
		t.Fatal("a replica whose process died is still used as healthy")
	}
}

// TestSuccessfulTrialEndsEjection guarantees that a replica that stalled for a moment may have one trial request as
// soon as the attempts it held back have ended, and is used as before once that succeeds at normal latency. After
// each slow trial the next one waits longer.
func TestSuccessfulTrialEndsEjection(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	s := h.scheduler
	r := s.replicas.byID[3]
	endSlowly := func(sentAt, normalized float64) {
		s.observeSlowness(h.now, &attempt{replica: r, sentAt: sentAt}, normalized)
		r.excessNormalizedLatency = decayingAverage{h.now, max(r.excessNormalizedLatency.value, normalized-1)}
	}
	endSlowly(h.now-900, 30)
	endSlowly(h.now-700, 25)
	if !s.isHealthy(h.now, r) {
		t.Fatal("no trial although all stalled attempts have ended")
	}
	trial := &attempt{part: &part{}, replica: r, call: &callInFlight{}, sentAt: h.now, overtaken: true}
	r.inFlight = []*attempt{trial}
	if s.isHealthy(h.now, r) {
		t.Fatal("a second request allowed beside a trial")
	}
	r.inFlight = nil
	for rest := trialBackoffParts; rest < 8*trialBackoffParts; rest *= 2 {
		h.now += estimateHalfLifeMaxMs
		endSlowly(h.now-800, 20)
		wait := r.outliers.trialAllowedAt - h.now
		if wait < 0.99*rest*s.meanPartWorkMs() || s.isHealthy(h.now, r) {
			t.Fatalf("next trial %v ms after a slow one, want %v at least", wait, rest*s.meanPartWorkMs())
		}
	}
	h.now = r.outliers.trialAllowedAt
	if !s.isHealthy(h.now, r) {
		t.Fatal("no trial after the rest")
	}
	s.observeSlowness(h.now+1, &attempt{replica: r, sentAt: h.now}, 1.2)
	level := s.normalizedLatency(h.now, r)
	if r.outliers.consecutiveSlowTrials != 0 || level > 1.3 {
		t.Fatalf("after a normal trial: normalized latency %v, %d slow trials", level, r.outliers.consecutiveSlowTrials)
	}
}

// TestCancelledAttemptsLeadToTrial guarantees a trial where stalled attempts are cancelled before they can come
// back, because their hedged requests have answered. While the replica stays silent the rests double. An attempt
// that comes late out of a stall that a trial has ended does not delay the next one, and a new process inherits
// neither trials nor rest.
func TestCancelledAttemptsLeadToTrial(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	s := h.scheduler
	r := s.replicas.byID[3]
	cancelAttempt := func(sentAt float64) {
		p := &part{query: &query{class: &s.settings.Classes[classDefault]}, cost: 1}
		a := &attempt{replica: r, sentAt: sentAt, ended: true, part: p, call: &callInFlight{cost: 1}}
		s.learn(h.now, a, AttemptResult{Outcome: Cancelled})
	}
	cancelAttempt(h.now - 30*s.latency.baseline)
	level := s.normalizedLatency(h.now, r)
	if level < ejectionLatency*s.latency.fleetMedian || !s.isHealthy(h.now, r) {
		t.Fatalf("normalized latency %v, and no trial", level)
	}
	for rest := trialBackoffParts; rest < 8*trialBackoffParts; rest *= 2 {
		h.now += estimateHalfLifeMaxMs
		cancelAttempt(h.now - 30*s.latency.baseline)
		wait := r.outliers.trialAllowedAt - h.now
		if wait < 0.99*rest*s.meanPartWorkMs() || wait > estimateHalfLifeMaxMs || s.isHealthy(h.now, r) {
			t.Fatalf("next trial %v ms after a silent one, want %v at least", wait, rest*s.meanPartWorkMs())
		}
	}
	trialAt := r.outliers.trialAllowedAt
	s.observeSlowness(trialAt+1, &attempt{replica: r, sentAt: trialAt}, 1.2)
	r.outliers.lastSlowAt = h.now
	s.observeSlowness(h.now, &attempt{replica: r, sentAt: h.now - 500}, 20)
	r.excessNormalizedLatency.value = 19
	if !s.isHealthy(h.now, r) {
		t.Fatal("an attempt that came late out of a past stall delays the next trial")
	}
	cancelAttempt(h.now + 1)
	cancelAttempt(h.now + 1)
	restarted := r.Endpoint
	restarted.StartedAt = h.now
	h.updateEndpoints(UpdateDelta, restarted)
	if r.outliers.consecutiveSlowTrials != 0 || r.outliers.lastSlowAt != 0 || r.outliers.isCountedAsSlow {
		t.Fatalf("a new process begins with %d slow trials", r.outliers.consecutiveSlowTrials)
	}
}

// TestUnresponsiveAndDegradingReplicasAreReadmitted guarantees that a broker goes by what it sees itself: a replica
// that answers nothing to it alone is avoided, and back in full use soon after it answers again. So is one that
// grows slower and slower, dies once and comes back.
func TestUnresponsiveAndDegradingReplicasAreReadmitted(t *testing.T) {
	for name, reply := range map[string]func(h *harness, a *sentAttempt, since float64){
		"unresponsive": func(*harness, *sentAttempt, float64) {},
		"degrading": func(h *harness, a *sentAttempt, since float64) {
			if since > 4000 {
				h.endAttempt(a, ConnectFailed)
			} else if h.now >= a.sentAt+100+since/3 {
				h.endAttempt(a, Succeeded)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			settings := testSettings()
			settings.BrokerCount = 30
			h := newHarness(t, settings)
			h.listFleet(UpdateFull)
			h.learnBaseline()
			// serve counts the parts sent to replica 3 and the queries that ended without an answer.
			serve := func(ms float64, reply func(*sentAttempt)) (sent, failed int) {
				before := len(h.sent)
				start := h.now
				var queries []*testQuery
				for i := 0; h.now < start+ms; i++ {
					queries = append(queries, h.submit(classDefault, i%6), h.submit(classDefault, (i+3)%6))
					h.runRound()
					h.advance(50, reply)
				}
				for _, q := range queries {
					if q.end != endAnswer && q.endedAt > 0 {
						failed++
					}
				}
				return countSentTo(3, h.sent[before:]), failed
			}
			usual, _ := serve(3000, h.replyAfter(100))
			start := h.now
			replyBadly := func(a *sentAttempt) {
				if a.replica == 3 {
					reply(h, a, h.now-start)
				} else if h.now >= a.sentAt+100 {
					h.endAttempt(a, Succeeded)
				}
			}
			serve(5000, replyBadly)
			sent, failed := serve(3000, replyBadly)
			if sent > usual/3 || failed > 6 {
				t.Errorf("%d parts sent to the replica (%d before), %d of 120 queries failed", sent, usual, failed)
			}
			serve(20000, h.replyAfter(100)) // it may be a new process, warming up for 15 s
			sent, failed = serve(3000, h.replyAfter(100))
			if sent < usual/2 || failed > 0 {
				t.Errorf("%d parts sent to the replica 20 s later (%d before), %d queries failed", sent, usual, failed)
			}
		})
	}
}

// TestSimultaneousEjectionDoesNotSynchronizeBrokers guarantees that, where 80 brokers see one sound replica stall
// for 400 ms at the same moment, they use it again soon and do not all return to it at once.
func TestSimultaneousEjectionDoesNotSynchronizeBrokers(t *testing.T) {
	f := newFleetModel(t, 80)
	f.run(5000, 60, 6)
	stalled := f.replicas[0]
	neighbor := f.replicas[3]
	relativeLoad := func(ms float64) float64 {
		stalled.attempts = 0
		neighbor.attempts = 0
		f.run(ms, 60, 6)
		return float64(stalled.attempts) / max(1, float64(neighbor.attempts))
	}
	before := relativeLoad(2000)
	stalled.busyUntil = f.now + 400
	_ = relativeLoad(1000)
	recoveredAfter := -1 // half seconds
	peak := 0.0
	for i := range 12 {
		load := relativeLoad(500)
		peak = max(peak, load)
		if recoveredAfter < 0 && load > 0.5*before {
			recoveredAfter = i
		}
	}
	t.Logf("%.2f of a neighbor's load before, half of that %d ms after, %.2f at most", before, recoveredAfter*500, peak)
	assert.True(t, recoveredAfter >= 0 && recoveredAfter <= 6, "avoided for %d half seconds", recoveredAfter)
	assert.Less(t, peak, 2.5*before, "all brokers returned at once")
}
