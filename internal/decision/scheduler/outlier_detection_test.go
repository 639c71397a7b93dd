package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFailingReplicaIsEjectedAndReadmitted checks that a replica that fails all its parts is sent few of them, and
// its normal share again after its recovery.
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

// TestNonIdempotentFailuresAreNotClearedByOtherClasses checks that a non-idempotent class avoids a replica that fails
// only this class. One failure loses a non-idempotent part, and successes of other classes must not hide it.
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
		t.Fatalf("the replica failed %d parts of the class and served %d others, want 3 at most and 20 at least",
			failed, served)
	}
}

// TestFlappingReplicaCostsNoAnswers checks that every query is answered while one replica alternates between failing
// and serving every few seconds, and that the replica is fully used again once it keeps serving.
func TestFlappingReplicaCostsNoAnswers(t *testing.T) {
	h := newHarness(t, testSettings())
	h.listFleet(UpdateFull)
	h.learnBaseline()
	var queries []*testQuery
	// shareOfReplica1 submits count queries and returns the share of their attempts that is sent to replica 1.
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

// TestSlowReplicaIsEjectedAtAnyTrafficRate checks that brokers with much traffic and with one query every two seconds
// avoid a slow replica, and that both use it again once it is fast.
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

// TestResetOfBusyConnectionMarksReplicaUnreachable checks that the reset of a connection in use counts against the
// replica: its process has died, and the next one will be warming up.
func TestResetOfBusyConnectionMarksReplicaUnreachable(t *testing.T) {
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
		t.Fatal("a replica whose process died is still considered healthy")
	}
}

// TestSuccessfulTrialEndsEjection checks that a replica that stalled briefly may be sent one trial request as soon as
// its delayed attempts have ended, and is fully used again once the trial succeeds at normal latency. The time before
// the next trial grows with each slow one.
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
		t.Fatal("a second attempt allowed beside a trial")
	}
	r.inFlight = nil
	for backoff := trialBackoffParts; backoff < 8*trialBackoffParts; backoff *= 2 {
		h.now += estimateHalfLifeMaxMs
		endSlowly(h.now-800, 20)
		wait := r.outliers.trialAllowedAt - h.now
		if wait < 0.99*backoff*s.meanPartWorkMs() || s.isHealthy(h.now, r) {
			t.Fatalf("next trial %v ms after a slow one, want %v at least", wait, backoff*s.meanPartWorkMs())
		}
	}
	h.now = r.outliers.trialAllowedAt
	if !s.isHealthy(h.now, r) {
		t.Fatal("no trial after the backoff")
	}
	s.observeSlowness(h.now+1, &attempt{replica: r, sentAt: h.now}, 1.2)
	latency := s.normalizedLatency(h.now, r)
	if r.outliers.consecutiveSlowTrials != 0 || latency > 1.3 {
		t.Fatalf("after a normal trial: normalized latency %v, %d slow trials", latency, r.outliers.consecutiveSlowTrials)
	}
}

// TestCancelledAttemptsLeadToTrial checks that a replica gets a trial request although its stalled attempts are
// cancelled, because their hedged requests succeeded, and never return. While the replica does not respond, the time
// between trials doubles. An attempt from a stall that a trial has ended does not delay the next trial, and a new
// process starts without slow trials.
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
	latency := s.normalizedLatency(h.now, r)
	if latency < ejectionLatency*s.latency.fleetMedian || !s.isHealthy(h.now, r) {
		t.Fatalf("normalized latency %v; want a latency of an ejected replica and a trial", latency)
	}
	for backoff := trialBackoffParts; backoff < 8*trialBackoffParts; backoff *= 2 {
		h.now += estimateHalfLifeMaxMs
		cancelAttempt(h.now - 30*s.latency.baseline)
		wait := r.outliers.trialAllowedAt - h.now
		if wait < 0.99*backoff*s.meanPartWorkMs() || wait > estimateHalfLifeMaxMs || s.isHealthy(h.now, r) {
			t.Fatalf("next trial %v ms after an unanswered attempt, want %v at least", wait, backoff*s.meanPartWorkMs())
		}
	}
	trialAt := r.outliers.trialAllowedAt
	s.observeSlowness(trialAt+1, &attempt{replica: r, sentAt: trialAt}, 1.2)
	r.outliers.lastSlowAt = h.now
	s.observeSlowness(h.now, &attempt{replica: r, sentAt: h.now - 500}, 20)
	r.excessNormalizedLatency.value = 19
	if !s.isHealthy(h.now, r) {
		t.Fatal("an attempt delayed by a past stall delays the next trial")
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

// TestUnresponsiveAndDegradingReplicasAreReadmitted checks that a broker avoids a replica that does not respond to
// this broker alone, or that becomes slower and slower and finally dies. The replica is fully used again soon after
// it recovers.
func TestUnresponsiveAndDegradingReplicasAreReadmitted(t *testing.T) {
	for name, reply := range map[string]func(h *harness, a *sentAttempt, sinceFaultMs float64){
		"unresponsive": func(*harness, *sentAttempt, float64) {},
		"degrading": func(h *harness, a *sentAttempt, sinceFaultMs float64) {
			if sinceFaultMs > 4000 {
				h.endAttempt(a, ConnectFailed)
			} else if h.now >= a.sentAt+100+sinceFaultMs/3 {
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
			// serve returns the number of parts sent to replica 3 and of queries that ended without an answer.
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
			sentBefore, _ := serve(3000, h.replyAfter(100))
			start := h.now
			replyWithFault := func(a *sentAttempt) {
				if a.replica == 3 {
					reply(h, a, h.now-start)
				} else if h.now >= a.sentAt+100 {
					h.endAttempt(a, Succeeded)
				}
			}
			serve(5000, replyWithFault)
			sent, failed := serve(3000, replyWithFault)
			if sent > sentBefore/3 || failed > 6 {
				t.Errorf("%d parts sent to the replica (%d before), %d of 120 queries failed", sent, sentBefore, failed)
			}
			serve(20000, h.replyAfter(100)) // the replica may be a new process that warms up for 15 s
			sent, failed = serve(3000, h.replyAfter(100))
			if sent < sentBefore/2 || failed > 0 {
				t.Errorf("%d parts sent to the replica 20 s later (%d before), %d queries failed", sent, sentBefore, failed)
			}
		})
	}
}

// TestSimultaneousEjectionDoesNotSynchronizeBrokers checks that 80 brokers that see the same replica stall for 400 ms
// use it again soon, but do not all return to it at once.
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
	recoveredAfter := -1 // in units of 500 ms; -1 if the replica has not recovered
	peak := 0.0
	for i := range 12 {
		load := relativeLoad(500)
		peak = max(peak, load)
		if recoveredAfter < 0 && load > 0.5*before {
			recoveredAfter = i
		}
	}
	t.Logf("load relative to a neighbor: %.2f before, half of that %d ms after the stall, %.2f at most",
		before, recoveredAfter*500, peak)
	assert.True(t, recoveredAfter >= 0 && recoveredAfter <= 6, "avoided for %d half seconds", recoveredAfter)
	assert.Less(t, peak, 2.5*before, "all brokers returned at once")
}
