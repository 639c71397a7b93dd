package test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// ruleCounts counts requests and broken rules over all cases of one protocol.
type ruleCounts struct {
	Requests, FinalAnswers int // requests of clients that stayed connected, and their final answers
	UnsafeRetries          int // attempts of a bind part after one that may have run
	ConcurrentAttempts     int // attempts of a part while another one is in flight
	AfterDrain             int // attempts at a draining backend later than 1 s after the broker was informed
	BelowMinimum           int // answers below their minimum share
	WrongComplete          int // answers wrongly marked complete or partial
	ForeignDocuments       int // documents of other parts
}

// faultCase is one case over one protocol.
type faultCase struct {
	t            *testing.T
	protocol     protocol
	backends     *backendSet
	p            *program
	mu           sync.Mutex
	counts       *ruleCounts
	requestCount int
}

// send sends a request as a client that stays connected, and counts the rules on the answer.
func (r *faultCase) send(q request) response {
	r.mu.Lock()
	r.requestCount++
	q.id = fmt.Sprintf("%s%04d", q.class, r.requestCount)
	if q.tenant == "" {
		q.tenant = "gangasagar-life"
	}
	r.counts.Requests++
	r.mu.Unlock()
	if q.timeout == 0 {
		q.timeout = time.Second
	}
	a := r.protocol.send(context.Background(), r.p, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.outcome != "disconnected" && a.outcome != "" {
		r.counts.FinalAnswers++
	}
	if a.outcome == "served" {
		least := len(q.shards)
		if q.class == "compare" {
			least = (7*len(q.shards) + 9) / 10
		}
		if len(a.documents) < least {
			r.counts.BelowMinimum++
		}
		if a.complete != (len(a.documents) == len(q.shards)) {
			r.counts.WrongComplete++
		}
		for s, d := range a.documents {
			if d != documentOf(fmt.Sprintf("%s.%d", q.id, s)) {
				r.counts.ForeignDocuments++
			}
		}
	}
	return a
}

// countAttempts counts the rules on the attempts that reached the backends. With neverRan no earlier attempt can have
// run, so that a retry of a bind part is safe.
func (r *faultCase) countAttempts(neverRan bool) {
	seen := map[string][]receivedAttempt{}
	for _, s := range r.backends.attempts() {
		for _, earlier := range seen[s.id] {
			if strings.HasPrefix(s.id, "bind") && !neverRan {
				r.counts.UnsafeRetries++
			}
			if earlier.endedAt.IsZero() || earlier.endedAt.After(s.receivedAt) {
				r.counts.ConcurrentAttempts++
			}
		}
		seen[s.id] = append(seen[s.id], s)
	}
}

// onFirst returns a behavior for the first attempt; all others are served.
func onFirst(d behavior) func(receivedAttempt, int) behavior {
	return func(_ receivedAttempt, nth int) behavior {
		if nth == 1 {
			return d
		}
		return serve
	}
}

// onAll returns one behavior for all attempts.
func onAll(d behavior) func(receivedAttempt, int) behavior {
	return func(receivedAttempt, int) behavior { return d }
}

// onShards returns a behavior for the attempts of some shards; all others are served.
func onShards(d behavior, shards ...int) func(receivedAttempt, int) behavior {
	return func(s receivedAttempt, _ int) behavior {
		if slices.Contains(shards, s.shard) {
			return d
		}
		return serve
	}
}

// faultCases is the suite that runs over both fronts.
var faultCases = []struct {
	name      string
	behave    func(receivedAttempt, int) behavior
	refusing  []int
	class     string
	shards    []int
	body      string
	tenant    string
	configure func(map[string]any) // changes the settings
	outcome   string
	documents int
	partial   bool
	attempts  int                // -1: not determined
	scenario  func(r *faultCase) // replaces the single request
}{
	{name: "quote is complete", class: "quote", shards: []int{0, 1, 2}, outcome: "served", documents: 3, attempts: 3},
	{name: "bind is served", class: "bind", shards: []int{5}, outcome: "served", documents: 1, attempts: 1},
	{name: "compare is complete", class: "compare", shards: []int{0, 1, 2, 3}, outcome: "served", documents: 4,
		attempts: 4},
	{name: "bind error is not retried", behave: onFirst(returnError), class: "bind", shards: []int{1},
		outcome: "failed", attempts: 1},
	{name: "bind on a closed connection is not retried", behave: onFirst(closeConnection), class: "bind",
		shards: []int{1}, outcome: "failed", attempts: 1},
	{name: "bind closed in its answer is not retried", behave: onFirst(closeMidAnswer), class: "bind", shards: []int{1},
		outcome: "failed", attempts: 1},
	{name: "bind answer survives a close after it", behave: onFirst(closeAfterAnswer), class: "bind", shards: []int{1},
		outcome: "served", documents: 1, attempts: 1},
	{name: "rejected bind goes to another replica", behave: onFirst(rejectPart), class: "bind", shards: []int{1},
		outcome: "served", documents: 1, attempts: 2},
	{name: "bind skips refused connections", refusing: []int{1, 2}, class: "bind", shards: []int{1}, outcome: "served",
		documents: 1, attempts: 1},
	{name: "bind without an answer times out", behave: onAll(neverAnswer), class: "bind", shards: []int{1},
		outcome: "timeout", attempts: 1},
	{name: "malformed bind answer is not retried", behave: onFirst(answerMalformed), class: "bind", shards: []int{1},
		outcome: "failed", attempts: 1},
	{name: "bind answer over the size limit is not retried", behave: onFirst(answerTooLarge), class: "bind",
		shards: []int{1}, outcome: "failed", attempts: 1},
	{name: "quote answer over the size limit is retried", behave: onFirst(answerTooLarge), class: "quote",
		shards: []int{1}, outcome: "served", documents: 1, attempts: 2},
	{name: "bind answer survives bytes after it", behave: onFirst(answerTwice), class: "bind", shards: []int{1},
		outcome: "served", documents: 1, attempts: 1},
	{name: "malformed quote answer is retried", behave: onFirst(answerMalformed), class: "quote", shards: []int{1},
		outcome: "served", documents: 1, attempts: 2},
	{name: "quote error is retried", behave: onFirst(returnError), class: "quote", shards: []int{1}, outcome: "served",
		documents: 1, attempts: 2},
	{name: "quote on a closed connection is retried", behave: onFirst(closeConnection), class: "quote",
		shards: []int{1}, outcome: "served", documents: 1, attempts: 2},
	{name: "quote closed in its answer is retried", behave: onFirst(closeMidAnswer), class: "quote", shards: []int{1},
		outcome: "served", documents: 1, attempts: 2},
	{name: "quote without an answer is reassigned", behave: onFirst(neverAnswer), class: "quote", shards: []int{1},
		outcome: "served", documents: 1, attempts: 2},
	{name: "quote without any answer is rejected", behave: onAll(neverAnswer), class: "quote", shards: []int{1},
		outcome: "rejected", attempts: -1},
	{name: "compare is partial", behave: onShards(neverAnswer, 3), class: "compare", shards: []int{0, 1, 2, 3},
		outcome: "served", documents: 3, partial: true, attempts: -1},
	{name: "compare below its minimum share is rejected", behave: onShards(neverAnswer, 2, 3), class: "compare",
		shards: []int{0, 1, 2, 3}, outcome: "rejected", attempts: -1},
	{name: "a full broker rejects", class: "quote", shards: []int{1}, outcome: "rejected",
		configure: func(s map[string]any) { s["limits"].(map[string]any)["max_open"] = 1 }},
	{name: "all backends refuse connections", refusing: []int{0, 1, 2, 3}, class: "bind", shards: []int{1},
		outcome: "rejected"},
	{name: "malformed request", class: "quote", body: `{"shards":[{"shard":1}`, outcome: "invalid"},
	{name: "request without shards", class: "quote", body: `{"shards":[],"q":""}`, outcome: "invalid"},
	{name: "weights do not sum to 1", class: "quote", body: `{"shards":[{"shard":1,"weight":0.2}],"q":""}`,
		outcome: "invalid"},
	{name: "unknown shard", class: "quote", shards: []int{8}, outcome: "invalid"},
	{name: "unknown class", class: "checkout", shards: []int{1}, outcome: "unknown"},
	{name: "unknown tenant", class: "quote", shards: []int{1}, tenant: "nobody", outcome: "denied"},
	{name: "client cancels after a bind part was sent", behave: onFirst(serveWhenReleased), attempts: 1,
		scenario: clientCancels},
	{name: "request id in use", behave: onFirst(serveWhenReleased), attempts: 1, scenario: duplicateRequestID},
	{name: "draining backend gets nothing new", scenario: endpointDrains},
	{name: "request accepted before SIGTERM is answered", behave: onAll(serveWhenReleased), attempts: 1,
		scenario: sigtermDuringAttempt},
	{name: "many requests at once", scenario: manyAtOnce},
}

// clientCancels has the client leave before the answer of its bind part comes. The answer must be logged, and the
// part must not be sent again.
func clientCancels(r *faultCase) {
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan response)
	go func() {
		result <- r.protocol.send(ctx, r.p, request{id: "bind-left", class: "bind", tenant: "gangasagar-life",
			shards: []int{1}, timeout: time.Second})
	}()
	// A close right behind the request would be taken for a half-close, not a cancellation.
	require.Eventually(r.t, func() bool {
		s := r.backends.attempts()
		return len(s) == 1 && time.Since(s[0].receivedAt) > 50*time.Millisecond
	}, waitTimeout, time.Millisecond)
	cancel()
	assert.Equal(r.t, "disconnected", (<-result).outcome)
	if r.protocol.flight {
		time.Sleep(100 * time.Millisecond) // over Flight the broker logs no line on a cancellation
	} else {
		r.p.waitForLog(`"code":"C03"`)
	}
	close(r.backends.release)
	r.p.waitForLog(`"id":"bind-left","end":"answered","class":1,"client_disconnected":true`)
}

// duplicateRequestID sends a second request with the id of one in flight. It must be rejected as invalid, and the
// first one answered.
func duplicateRequestID(r *faultCase) {
	q := request{id: "bind-same", class: "bind", tenant: "gangasagar-life", shards: []int{1}, timeout: time.Second}
	answer := make(chan response)
	go func() { answer <- r.protocol.send(context.Background(), r.p, q) }()
	require.Eventually(r.t, func() bool { return len(r.backends.attempts()) == 1 }, waitTimeout, time.Millisecond)
	assert.Equal(r.t, "invalid", r.protocol.send(context.Background(), r.p, q).outcome)
	close(r.backends.release)
	assert.Equal(r.t, "served", (<-answer).outcome)
}

// endpointDrains has a backend drain. One second after the broker was informed it must get nothing more.
func endpointDrains(r *faultCase) {
	for i := range 12 {
		r.send(request{class: "quote", shards: []int{i % 8}})
	}
	at, d := time.Now(), r.p.discovery
	d.change(func() { d.list.Endpoints[2].Phase = "DRAINING" })
	require.Eventually(r.t, func() bool { return d.answeredSince(at) }, waitTimeout, time.Millisecond)
	informedAt := time.Now()
	for i := 0; time.Since(informedAt) < 1100*time.Millisecond; i++ {
		require.Equal(r.t, "served", r.send(request{class: "quote", shards: []int{i % 8}}).outcome)
	}
	early, late := 0, 0
	for _, s := range r.backends.attempts() {
		if s.backend == "s-2" && s.receivedAt.Before(at) {
			early++
		}
		if s.backend == "s-2" && s.receivedAt.After(informedAt.Add(time.Second)) {
			late++
		}
	}
	assert.Positive(r.t, early, "the backend was never used")
	r.counts.AfterDrain += late
}

// sigtermDuringAttempt sends SIGTERM while a bind part is in flight. The request must be answered.
func sigtermDuringAttempt(r *faultCase) {
	answer := make(chan response)
	go func() { answer <- r.send(request{class: "bind", shards: []int{1}}) }()
	require.Eventually(r.t, func() bool { return len(r.backends.attempts()) == 1 }, waitTimeout, time.Millisecond)
	require.NoError(r.t, r.p.Process.Signal(syscall.SIGTERM))
	require.Eventually(r.t, func() bool { return r.p.healthStatus() != 200 }, waitTimeout, time.Millisecond)
	close(r.backends.release)
	assert.Equal(r.t, "served", (<-answer).outcome)
}

// manyAtOnce sends concurrent requests of all classes. Each client must get its own answer.
func manyAtOnce(r *faultCase) {
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() {
			class := []string{"quote", "bind", "compare"}[i%3]
			shards := [][]int{{0, 1, 2}, {i % 8}, {4, 5, 6, 7}}[i%3]
			a := r.send(request{class: class, shards: shards})
			assert.Contains(r.t, []string{"served", "rejected"}, a.outcome)
		})
	}
	all.Wait()
}

// TestFaults runs the cases over both protocols. No rule may be broken, and both must count the same.
func TestFaults(t *testing.T) {
	got := make([]ruleCounts, len(protocols))
	var mu sync.Mutex
	t.Run("wires", func(t *testing.T) {
		for i, protocol := range protocols {
			t.Run(protocol.name, func(t *testing.T) {
				for _, f := range faultCases {
					t.Run(f.name, func(t *testing.T) {
						t.Parallel()
						s := settings()
						if f.configure != nil {
							f.configure(s)
						}
						r := &faultCase{t: t, protocol: protocol, counts: &ruleCounts{},
							backends: startBackends(t, protocol, f.behave, f.refusing...)}
						r.p = start(t, options{settings: s, endpoints: r.backends.endpoints, flight: protocol.flight})
						if f.scenario != nil {
							f.scenario(r)
						} else {
							a := r.send(request{class: f.class, shards: f.shards, body: f.body, tenant: f.tenant})
							assert.Equal(t, f.outcome, a.outcome, r.p.logged())
							assert.Len(t, a.documents, f.documents)
							assert.Equal(t, f.outcome == "served" && !f.partial, a.complete)
							if f.outcome == "rejected" {
								assert.Positive(t, a.retryAfter, "a rejection says when to retry")
							}
						}
						if f.attempts > 0 || f.scenario == nil && f.attempts == 0 {
							assert.Len(t, r.backends.attempts(), f.attempts)
						}
						if r.p.stop(); t.Failed() {
							t.Log(r.p.logged())
						}
						r.countAttempts(strings.Contains(f.name, "rejected bind"))
						mu.Lock()
						defer mu.Unlock()
						got[i].add(*r.counts)
					})
				}
			})
		}
	})
	http, flight := got[0], got[1]
	t.Logf("http %+v, flight %+v", http, flight)
	// The drain case sends as many requests as time allows, so that only requests and answers can be compared.
	assert.Equal(t, http.Requests, http.FinalAnswers)
	assert.Equal(t, flight.Requests, flight.FinalAnswers)
	http.Requests, http.FinalAnswers, flight.Requests, flight.FinalAnswers = 0, 0, 0, 0
	assert.Equal(t, http, flight)
	assert.Equal(t, ruleCounts{}, http)
}

// add adds the counts of another case.
func (c *ruleCounts) add(x ruleCounts) {
	c.Requests, c.FinalAnswers, c.UnsafeRetries = c.Requests+x.Requests, c.FinalAnswers+x.FinalAnswers,
		c.UnsafeRetries+x.UnsafeRetries
	c.ConcurrentAttempts, c.AfterDrain, c.BelowMinimum = c.ConcurrentAttempts+x.ConcurrentAttempts,
		c.AfterDrain+x.AfterDrain, c.BelowMinimum+x.BelowMinimum
	c.WrongComplete, c.ForeignDocuments = c.WrongComplete+x.WrongComplete, c.ForeignDocuments+x.ForeignDocuments
}
