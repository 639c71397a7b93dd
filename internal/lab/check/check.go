// Package check counts the rules from what reached clients and nodes, and never from what a broker says of
// itself.
package check

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/model"
)

// Counts are the rules, and what happened to those who asked.
type Counts struct {
	Received int `json:"taken"`
	Answered int `json:"answered"`
	Rejected int `json:"refused"`
	Failed   int `json:"failed"`

	Lost                 int `json:"lost"`          // no final answer by the deadline, or more than one
	RanTwice             int `json:"bind_twice"`    // districts of a part that must not run twice that ran twice
	Overlaps             int `json:"overlaps"`      // two attempts at once, or executed by who did not hold it
	FalselyComplete      int `json:"falsely_whole"` // marked whole and not
	BelowMinCompleteness int `json:"short"`         // answered from less than the least share
	WrongValues          int `json:"wrong_value"`   // a value that was not made for it
	CountedTwice         int `json:"counted_twice"` // districts that two values stand for
	SentAfterDrain       int `json:"drain_late"`    // new work later than 1 s after a drain was told
	WarmingOverloaded    int `json:"cold_fallen"`   // cold nodes pushed over
}

// Broken is how often a rule was broken.
func (c Counts) Violations() int {
	return c.Lost + c.RanTwice + c.Overlaps + c.FalselyComplete + c.BelowMinCompleteness + c.WrongValues + c.CountedTwice +
		c.SentAfterDrain + c.WarmingOverloaded
}

// Ask is a query as its client sent it.
type Request struct {
	ID              string
	Class           int
	NonIdempotent   bool
	MinCompleteness float64
	Deadline        float64
	Parts           []Part
	finalAnswers    int
	answerWaived    bool // its broker died
}

// Anew is the query as its client asks it again.
func (a *Request) ClientRetry() *Request {
	next := *a
	next.finalAnswers, next.answerWaived, next.Parts = 0, false, slices.Clone(a.Parts)
	return &next
}

// Part is a part as its client named it.
type Part struct {
	Shard   int
	Weight  float64
	Buckets shardmap.Range // that the name stands for, for ever
}

// Hit is a value of an answer.
type Value struct {
	Shard   int
	Buckets shardmap.Range
	Doc     string
}

const (
	weightTolerance = 1e-4   // of weights, as the rules allow
	virtualGraceMs  = 70.0   // ms past the deadline in which a final answer still counts; live, with threads between
	liveGraceMs     = 150.0  // broker and checker, so many
	maxDrainDelayMs = 1050.0 // ms, as the rule on sockets has it
	maxNotes        = 20
)

// Checker holds what is needed to judge. Its memory is bounded by what is open.
type Checker struct {
	Counts
	Notes []string // the first breaches, in words

	requests map[string]*Request
	runs     map[string][]shardmap.Range  // of queries that must not run twice
	inFlight map[string][]*shardmap.Range // at nodes: of attempts that are out

	// Later, if set, is asked to look once more in a moment at what seems to be out twice: live, the word
	// that one attempt is given up and the next attempt come over two connections, and threads read them.
	Recheck func(look func())
	// Copies allows a second attempt of what may be repeated to be out, and no more than two.
	AllowHedging bool
	// Unasked is how long, in ms, a new process may go without having asked for the list before what the last
	// one was told counts as told to it. 0 where lists are pushed: what an agent has counts at once.
	FirstPollMs     float64
	drainNotifiedAt map[[2]string]float64 // broker and node: when it was told that the node drains
}

// New makes a checker.
func New() *Checker {
	return &Checker{requests: map[string]*Request{}, runs: map[string][]shardmap.Range{},
		inFlight:        map[string][]*shardmap.Range{},
		drainNotifiedAt: map[[2]string]float64{}}
}

func (c *Checker) recordViolation(n *int, format string, args ...any) {
	*n++
	if len(c.Notes) < maxNotes {
		c.Notes = append(c.Notes, fmt.Sprintf(format, args...))
	}
}

// Asked notes a query that a broker has taken.
func (c *Checker) RequestReceived(a *Request) {
	c.Received++
	c.requests[a.ID] = a
}

// Void notes that a query's broker has died: nobody owes it an answer.
func (c *Checker) WaiveAnswer(id string) {
	if a := c.requests[id]; a != nil {
		a.answerWaived = true
	}
}

// Refusal and Failure note final answers that serve nothing.
func (c *Checker) RequestRejected(now float64, id string) {
	c.recordFinalAnswer(now, id)
	c.Rejected++
}

// Failure notes a failure.
func (c *Checker) RequestFailed(now float64, id string) {
	c.recordFinalAnswer(now, id)
	c.Failed++
}

func (c *Checker) recordFinalAnswer(now float64, id string) *Request {
	a := c.requests[id]
	if a == nil {
		c.recordViolation(&c.Lost, "%s was answered and never asked", id)
		return nil
	}
	if a.finalAnswers++; a.finalAnswers > 1 {
		c.recordViolation(&c.Lost, "%s was answered %d times", id, a.finalAnswers)
	} else if now > a.Deadline+c.answerGraceMs() {
		c.recordViolation(&c.Lost, "%s was answered %.0f ms late", id, now-a.Deadline)
	}
	return a
}

// Answer judges an answer and gives the share of weight that is in.
func (c *Checker) RequestAnswered(now float64, id string, whole bool, hits []Value) (share float64) {
	a := c.recordFinalAnswer(now, id)
	c.Answered++
	if a == nil {
		return 0
	}
	by := map[int][]Value{}
	for _, h := range hits {
		if h.Doc != model.Value(id, h.Buckets) {
			c.recordViolation(&c.WrongValues, "%s: %q for districts %v", id, h.Doc, h.Buckets)
		}
		by[h.Shard] = append(by[h.Shard], h)
	}
	for _, p := range a.Parts {
		list := by[p.Shard]
		delete(by, p.Shard)
		sort.Slice(list, func(i, j int) bool { return list[i].Buckets.Start < list[j].Buckets.Start })
		at, full := p.Buckets.Start, len(list) > 0
		for _, h := range list {
			if h.Buckets.Start < at {
				c.recordViolation(&c.CountedTwice, "%s: %v after %d", id, h.Buckets, at)
			}
			full = full && h.Buckets.Start == at
			at = h.Buckets.End
		}
		switch {
		case full && at == p.Buckets.End:
			share += p.Weight
		case len(list) > 0: // half of a part: it counts for nothing and should not stand there
			c.recordViolation(&c.WrongValues, "%s: part %d has only some of %v", id, p.Shard, p.Buckets)
		}
	}
	if len(by) > 0 {
		c.recordViolation(&c.WrongValues, "%s: values for %d parts that were not asked for", id, len(by))
	}
	if whole && share < 1-weightTolerance {
		c.recordViolation(&c.FalselyComplete, "%s: marked whole from %.3f", id, share)
	}
	if share < a.MinCompleteness-weightTolerance {
		c.recordViolation(&c.BelowMinCompleteness, "%s: answered from %.3f of at least %.3f", id, share, a.MinCompleteness)
	}
	return share
}

// Over forgets a query after its time: what has no answer by then is lost.
func (c *Checker) CloseRequest(id string) {
	a := c.requests[id]
	if a == nil {
		return
	}
	delete(c.requests, id)
	if a.finalAnswers == 0 && !a.answerWaived {
		c.recordViolation(&c.Lost, "%s was never answered", id)
	}
}

// Forget drops what is known of a query at nodes, once nothing of it can come any more.
func (c *Checker) ForgetRuns(id string) { delete(c.runs, id) }

// Came notes that an attempt has reached a node: another of the same districts must not be out.
func (c *Checker) AttemptArrived(id string, r shardmap.Range) {
	twice := 0
	for _, o := range c.inFlight[id] {
		if !o.Overlaps(r) {
			continue
		}
		if a := c.requests[id]; c.AllowHedging && twice == 0 && a != nil && !a.NonIdempotent {
			twice++
			continue
		}
		if c.Recheck == nil {
			c.recordViolation(&c.Overlaps, "%s: districts %v came while %v were out", id, r, o)
			continue
		}
		c.Recheck(func() {
			if slices.Contains(c.inFlight[id], o) {
				c.recordViolation(&c.Overlaps, "%s: districts %v came while %v were out", id, r, o)
			}
		})
	}
	c.inFlight[id] = append(c.inFlight[id], &r)
}

func (c *Checker) answerGraceMs() float64 {
	if c.Recheck != nil {
		return liveGraceMs
	}
	return virtualGraceMs
}

// Gone notes that an attempt is out no more: answered, given up, or its connection has ended.
func (c *Checker) AttemptEnded(id string, r shardmap.Range) {
	list := c.inFlight[id]
	for i, o := range list {
		if *o == r {
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

// Ran notes that a node has begun a part. holds tells whether it held the districts at its epoch, by the
// truth.
func (c *Checker) PartStarted(node, id string, r shardmap.Range, once, holds bool) {
	if !holds {
		c.recordViolation(&c.Overlaps, "%s executed %s %v, which another held", node, id, r)
	}
	if !once {
		return
	}
	for _, o := range c.runs[id] {
		if o.Overlaps(r) {
			c.recordViolation(&c.RanTwice, "%s: districts %v ran again at %s", id, r, node)
		}
	}
	c.runs[id] = append(c.runs[id], r)
}

// Told notes that a broker has been told that a node drains or is gone; Untold that it serves again.
func (c *Checker) DrainNotified(now float64, broker, node string) {
	if at, ok := c.drainNotifiedAt[[2]string{broker, node}]; !ok || now < at {
		c.drainNotifiedAt[[2]string{broker, node}] = now
	}
}

// Untold notes that a broker was told that the node serves.
func (c *Checker) ReadyNotified(broker, node string) {
	delete(c.drainNotifiedAt, [2]string{broker, node})
}

// Restarted notes that a broker's process is a new one: what was told to the last one counts as told once it
// might have heard it, if it does not hear it sooner.
func (c *Checker) BrokerRestarted(now float64, broker string) {
	for k := range c.drainNotifiedAt {
		if k[0] == broker {
			c.drainNotifiedAt[k] = now + c.FirstPollMs
		}
	}
}

// Sent notes that a broker began to send new work to a node.
func (c *Checker) AttemptSent(now float64, broker, node string) {
	if at, ok := c.drainNotifiedAt[[2]string{broker, node}]; ok && now > at+maxDrainDelayMs {
		c.recordViolation(&c.SentAfterDrain, "%s sent to %s %.0f ms after it was told of its drain", broker, node, now-at)
	}
}

// Fell notes that a node fell over; cold ones must not.
func (c *Checker) BackendOverloaded(node string, cold bool) {
	if cold {
		c.recordViolation(&c.WarmingOverloaded, "%s was cold and fell over", node)
	}
}

// String names the first breaches.
func (c *Checker) String() string { return strings.Join(c.Notes, "; ") }
