// Package check counts violations of the rules that a run must keep. It judges only by what reached clients and
// backends, never by what a broker reports about itself.
package check

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/model"
)

// Counts holds the number of requests by outcome and of violations by rule.
type Counts struct {
	Received int `json:"taken"`
	Answered int `json:"answered"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`

	// Lost counts requests without a final answer by the deadline or with more than one.
	Lost int `json:"lost"`
	// RanTwice counts bucket ranges of non-idempotent parts that ran more than once.
	RanTwice int `json:"bind_twice"`
	// Overlaps counts attempts that arrived beside another one of the same buckets, and parts that a backend
	// executed without holding their buckets.
	Overlaps int `json:"overlaps"`
	// FalselyComplete counts answers marked complete that were not.
	FalselyComplete int `json:"falsely_whole"`
	// BelowMinCompleteness counts answers with less weight than their class allows.
	BelowMinCompleteness int `json:"short"`
	// WrongValues counts values that belong to another request or other buckets, or cover only some of a part.
	WrongValues int `json:"wrong_value"`
	// CountedTwice counts values whose buckets another value of the answer covers as well.
	CountedTwice int `json:"counted_twice"`
	// SentAfterDrain counts attempts sent more than 1 s after the broker was notified of the drain.
	SentAfterDrain int `json:"drain_late"`
	// WarmingOverloaded counts backends that failed under overload while warming up.
	WarmingOverloaded int `json:"cold_fallen"`
}

// Violations returns the number of violations of all rules.
func (c Counts) Violations() int {
	return c.Lost + c.RanTwice + c.Overlaps + c.FalselyComplete + c.BelowMinCompleteness + c.WrongValues +
		c.CountedTwice + c.SentAfterDrain + c.WarmingOverloaded
}

// Request is a request as its client sent it.
type Request struct {
	ID              string
	Class           int
	NonIdempotent   bool
	MinCompleteness float64
	Deadline        float64
	Parts           []Part
	finalAnswers    int
	answerWaived    bool // no answer is due: its broker has stopped or did not accept it
}

// ClientRetry returns a copy for a client retry, without the answers recorded so far.
func (r *Request) ClientRetry() *Request {
	next := *r
	next.finalAnswers, next.answerWaived, next.Parts = 0, false, slices.Clone(r.Parts)
	return &next
}

// Part is a part as its client requested it.
type Part struct {
	Shard   int
	Weight  float64
	Buckets shardmap.Range // of the shard in the client's map; a shard ID always means the same buckets
}

// Value is a value of an answer.
type Value struct {
	Shard   int
	Buckets shardmap.Range
	Doc     string
}

const (
	weightTolerance = 1e-4 // on sums of part weights; the rules allow it
	// virtualGraceMs and liveGraceMs say how long after the deadline a final answer still counts. In a live run
	// threads run between broker and checker.
	virtualGraceMs  = 70.0
	liveGraceMs     = 150.0
	maxDrainDelayMs = 1050.0 // from the notice of a drain; the rule allows 1 s
	maxNotes        = 20
)

// Checker checks the rules. Its memory is bounded by the requests and attempts that are open.
type Checker struct {
	Counts
	Notes []string // the first violations, in words

	requests map[string]*Request
	runs     map[string][]shardmap.Range  // by request: buckets of non-idempotent parts that have run
	inFlight map[string][]*shardmap.Range // by request: buckets of the attempts in flight at backends

	// Recheck, if set, runs a function a moment later, to confirm that two attempts are in flight. In a live run
	// the cancellation of one attempt and the next attempt arrive over two connections that different threads
	// read.
	Recheck func(check func())
	// AllowHedging allows a second attempt beside one in flight if the request is idempotent, but no third.
	AllowHedging bool
	// FirstPollMs is the time in ms after which a new broker process that has not polled the endpoint list
	// counts as notified of what the previous process knew. It is 0 where lists are pushed: a new process then
	// has the list of its discovery agent at once.
	FirstPollMs     float64
	drainNotifiedAt map[[2]string]float64 // by broker and backend, in ms
}

// New returns a checker without requests.
func New() *Checker {
	return &Checker{requests: map[string]*Request{}, runs: map[string][]shardmap.Range{},
		inFlight:        map[string][]*shardmap.Range{},
		drainNotifiedAt: map[[2]string]float64{}}
}

// recordViolation increments a count and notes the violation, up to maxNotes.
func (c *Checker) recordViolation(count *int, format string, args ...any) {
	*count++
	if len(c.Notes) < maxNotes {
		c.Notes = append(c.Notes, fmt.Sprintf(format, args...))
	}
}

// RequestReceived records a request that a broker received.
func (c *Checker) RequestReceived(r *Request) {
	c.Received++
	c.requests[r.ID] = r
}

// WaiveAnswer records that no answer to a request is due, as its broker has stopped or did not accept it.
func (c *Checker) WaiveAnswer(id string) {
	if r := c.requests[id]; r != nil {
		r.answerWaived = true
	}
}

// RequestRejected records the rejection of a request as its final answer.
func (c *Checker) RequestRejected(now float64, id string) {
	c.recordFinalAnswer(now, id)
	c.Rejected++
}

// RequestFailed records the failure of a request as its final answer.
func (c *Checker) RequestFailed(now float64, id string) {
	c.recordFinalAnswer(now, id)
	c.Failed++
}

// recordFinalAnswer checks that a final answer is the only one and in time. It returns the request, or nil if it
// is unknown.
func (c *Checker) recordFinalAnswer(now float64, id string) *Request {
	r := c.requests[id]
	if r == nil {
		c.recordViolation(&c.Lost, "%s was answered and never asked", id)
		return nil
	}
	if r.finalAnswers++; r.finalAnswers > 1 {
		c.recordViolation(&c.Lost, "%s was answered %d times", id, r.finalAnswers)
	} else if now > r.Deadline+c.answerGraceMs() {
		c.recordViolation(&c.Lost, "%s was answered %.0f ms late", id, now-r.Deadline)
	}
	return r
}

// RequestAnswered checks an answer and its values. It returns the share of the weight that the answer holds.
func (c *Checker) RequestAnswered(now float64, id string, complete bool, values []Value) (share float64) {
	r := c.recordFinalAnswer(now, id)
	c.Answered++
	if r == nil {
		return 0
	}
	byShard := map[int][]Value{}
	for _, v := range values {
		if v.Doc != model.Value(id, v.Buckets) {
			c.recordViolation(&c.WrongValues, "%s: %q for districts %v", id, v.Doc, v.Buckets)
		}
		byShard[v.Shard] = append(byShard[v.Shard], v)
	}
	for _, p := range r.Parts {
		list := byShard[p.Shard]
		delete(byShard, p.Shard)
		sort.Slice(list, func(i, j int) bool { return list[i].Buckets.Start < list[j].Buckets.Start })
		end, hasNoGap := p.Buckets.Start, len(list) > 0 // the values up to end cover the part without a gap
		for _, v := range list {
			if v.Buckets.Start < end {
				c.recordViolation(&c.CountedTwice, "%s: %v after %d", id, v.Buckets, end)
			}
			hasNoGap = hasNoGap && v.Buckets.Start == end
			end = v.Buckets.End
		}
		switch {
		case hasNoGap && end == p.Buckets.End:
			share += p.Weight
		case len(list) > 0: // some buckets of a part count for nothing and must not be in an answer
			c.recordViolation(&c.WrongValues, "%s: part %d has only some of %v", id, p.Shard, p.Buckets)
		}
	}
	if len(byShard) > 0 {
		c.recordViolation(&c.WrongValues, "%s: values for %d parts that were not asked for", id, len(byShard))
	}
	if complete && share < 1-weightTolerance {
		c.recordViolation(&c.FalselyComplete, "%s: marked whole from %.3f", id, share)
	}
	if share < r.MinCompleteness-weightTolerance {
		c.recordViolation(&c.BelowMinCompleteness, "%s: answered from %.3f of at least %.3f", id, share,
			r.MinCompleteness)
	}
	return share
}

// CloseRequest forgets a request after its deadline. A request without a final answer is lost.
func (c *Checker) CloseRequest(id string) {
	r := c.requests[id]
	if r == nil {
		return
	}
	delete(c.requests, id)
	if r.finalAnswers == 0 && !r.answerWaived {
		c.recordViolation(&c.Lost, "%s was never answered", id)
	}
}

// ForgetRuns forgets which parts of a request have run, once no more of them can arrive.
func (c *Checker) ForgetRuns(id string) { delete(c.runs, id) }

// AttemptArrived records that an attempt has reached a backend. No other attempt for the same buckets may be in
// flight, except a hedged request.
func (c *Checker) AttemptArrived(id string, buckets shardmap.Range) {
	hedged := 0
	for _, other := range c.inFlight[id] {
		if !other.Overlaps(buckets) {
			continue
		}
		if r := c.requests[id]; c.AllowHedging && hedged == 0 && r != nil && !r.NonIdempotent {
			hedged++
			continue
		}
		if c.Recheck == nil {
			c.recordViolation(&c.Overlaps, "%s: districts %v came while %v were out", id, buckets, other)
			continue
		}
		c.Recheck(func() {
			if slices.Contains(c.inFlight[id], other) {
				c.recordViolation(&c.Overlaps, "%s: districts %v came while %v were out", id, buckets, other)
			}
		})
	}
	c.inFlight[id] = append(c.inFlight[id], &buckets)
}

// answerGraceMs returns how long after the deadline a final answer still counts.
func (c *Checker) answerGraceMs() float64 {
	if c.Recheck != nil {
		return liveGraceMs
	}
	return virtualGraceMs
}

// AttemptEnded records the end of an attempt: it is answered or cancelled, or its connection has ended.
func (c *Checker) AttemptEnded(id string, buckets shardmap.Range) {
	list := c.inFlight[id]
	for i, other := range list {
		if *other == buckets {
			list[i] = list[len(list)-1]
			if list = list[:len(list)-1]; len(list) == 0 {
				delete(c.inFlight, id)
			} else {
				c.inFlight[id] = list
			}
			return
		}
	}
}

// PartStarted records that a backend has started to run a part. holds says whether the backend held the buckets
// in the authoritative shard map at its own epoch.
func (c *Checker) PartStarted(backend, id string, buckets shardmap.Range, nonIdempotent, holds bool) {
	if !holds {
		c.recordViolation(&c.Overlaps, "%s executed %s %v, which another held", backend, id, buckets)
	}
	if !nonIdempotent {
		return
	}
	for _, other := range c.runs[id] {
		if other.Overlaps(buckets) {
			c.recordViolation(&c.RanTwice, "%s: districts %v ran again at %s", id, buckets, backend)
		}
	}
	c.runs[id] = append(c.runs[id], buckets)
}

// DrainNotified records that a broker was notified that a backend is draining or removed.
func (c *Checker) DrainNotified(now float64, broker, backend string) {
	if at, ok := c.drainNotifiedAt[[2]string{broker, backend}]; !ok || now < at {
		c.drainNotifiedAt[[2]string{broker, backend}] = now
	}
}

// ReadyNotified records that a broker was notified that a backend is ready.
func (c *Checker) ReadyNotified(broker, backend string) {
	delete(c.drainNotifiedAt, [2]string{broker, backend})
}

// BrokerRestarted records that a broker has a new process. It counts as notified of the drains that the previous
// one knew after FirstPollMs, or sooner if DrainNotified says so.
func (c *Checker) BrokerRestarted(now float64, broker string) {
	for k := range c.drainNotifiedAt {
		if k[0] == broker {
			c.drainNotifiedAt[k] = now + c.FirstPollMs
		}
	}
}

// AttemptSent records that a broker sent a new attempt to a backend.
func (c *Checker) AttemptSent(now float64, broker, backend string) {
	if at, ok := c.drainNotifiedAt[[2]string{broker, backend}]; ok && now > at+maxDrainDelayMs {
		c.recordViolation(&c.SentAfterDrain, "%s sent to %s %.0f ms after it was told of its drain", broker, backend,
			now-at)
	}
}

// BackendOverloaded records that a backend failed under overload. That violates a rule only while it warms up.
func (c *Checker) BackendOverloaded(backend string, warmingUp bool) {
	if warmingUp {
		c.recordViolation(&c.WarmingOverloaded, "%s was cold and fell over", backend)
	}
}

// String returns the first violations in words.
func (c *Checker) String() string { return strings.Join(c.Notes, "; ") }
