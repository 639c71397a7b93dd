// Package membership decides when a broker asks for the list of nodes and what an answer, or none, means. It
// does no I/O and reads no clock: times are ms of one monotonic clock that the caller passes in.
//
// There are two ways in which a list comes. Where it is asked for, one service answers all brokers, calls
// wait in turn, and the decision module says when to call (balance, MustAsk). Where it is pushed, an agent on
// the broker's own machine answers at once with what it has been sent, and whatever it has counts as told,
// whether it was read or not. So the agent is read at a steady pace that the rule on drains gives, and the
// module only hears what came.
package membership

import "errors"

const (
	// Of the drain grace the module uses half after it was informed. The other half is for reading: a period,
	// the patience with a call that fell silent, and what the answer takes.
	periodOfGrace  = 0.1
	timeoutOfGrace = 0.25
	minPeriodMs    = 20.0  // ms: 50 calls a second to the agent at most, whatever the grace
	maxPeriodMs    = 200.0 // ms: a list that nobody's rule hurries is still read
	// How long a watch waits, and how long beyond that a call may take, where the list is asked for: silence
	// must show before changes count as told.
	watchWaitMs         = 3000.0 // ms
	responseAllowanceMs = 2000.0 // ms
	// A watch that fell silent is opened anew in its broker's turn within so long: all of a fleet may have
	// fallen silent with one machine. What it misses counts as told 6 s after it fell silent, 1 s after
	// patience ends.
	reopenSpreadMs = 250.0 // ms
	// A watch is called again at once, but an answer that comes sooner than this after its call and tells
	// nothing is no watch: then the next call waits.
	minWatchIntervalMs = 20.0 // ms
)

// ErrStaleRevision tells that a change builds on a list that is not ours: the whole list is asked for.
var ErrStaleRevision = errors.New("the list's version went back")

// ErrEmptyList tells that a whole list without any member was not taken, since one with members is known.
var ErrEmptyList = errors.New("an empty list in place of one with members")

// Call is how the next call is made.
type Call struct {
	FullList      bool    // the whole list is asked for, not what is newer than Index
	SinceRevision uint64  // the version that is known
	Wait          float64 // ms that a call for changes may wait at the other side
	Timeout       float64 // ms after which a call without an answer has failed
}

// Response is what came of a call.
type Response struct {
	Complete      bool
	Revision      uint64
	EndpointCount int
}

// Next is what follows an answer or a failure.
type Next struct {
	At            float64 // when to call again
	Apply         bool    // what came is given to the module
	NotifyFailure bool    // the module is told of the failure, and says itself when to call again: At counts for nothing
	Err           error   // why what came is not taken, nil if it is
}

// Stats are what a reader has counted.
type Stats struct{ Calls, Failed, Stale, Empty uint64 }

// Poller is what a broker knows of its way to the list.
type Poller struct {
	pushed              bool
	periodMs, timeoutMs float64
	reopenDelayMs       float64 // ms after silence at which the watch is opened anew
	revision            uint64
	hasRevision         bool // revision is of the list that is known
	cachedNonEmpty      bool // that list has had members
	callStartedAt       float64
	stats               Stats
}

// Options say which way the list comes.
type Options struct {
	Pushed                   bool
	DrainGrace               float64 // ms after being told in which work may still go to a node that drains; 0 for no rule
	BrokerIndex, BrokerCount int     // this broker's number, and how many there are
}

// NewPoller makes a reader that knows no list.
func NewPoller(o Options) *Poller {
	r := &Poller{pushed: o.Pushed, periodMs: maxPeriodMs, timeoutMs: watchWaitMs + responseAllowanceMs,
		reopenDelayMs: reopenSpreadMs * float64(o.BrokerIndex) / float64(max(1, o.BrokerCount))}
	if o.DrainGrace > 0 {
		r.periodMs = min(max(o.DrainGrace*periodOfGrace, minPeriodMs), maxPeriodMs)
	}
	if r.pushed {
		r.timeoutMs = max(r.periodMs*timeoutOfGrace/periodOfGrace, 2*minPeriodMs)
	}
	return r
}

// Pushed tells that the reader calls by itself, and the module is not asked when.
func (r *Poller) Pushed() bool { return r.pushed }

// Period is the ms between calls where the list is pushed.
func (r *Poller) Period() float64 { return r.periodMs }

// Timeout is the ms after which a call without an answer has failed.
func (r *Poller) Timeout() float64 { return r.timeoutMs }

// Stats are the counts so far.
func (r *Poller) Stats() Stats { return r.stats }

// SetCached takes the version of a list that the broker was started with.
func (r *Poller) SetCached(revision uint64, members int) {
	// An agent costs nobody anything: the whole list is read first.
	r.revision, r.hasRevision = revision, !r.pushed && (revision > 0 || members > 0)
	r.cachedNonEmpty = members > 0
}

// AddressChanged tells that the list is asked for elsewhere: versions need not be the same there.
func (r *Poller) AddressChanged() { r.hasRevision = false }

// BeginCall notes a call and says how it is made.
func (r *Poller) BeginCall(now float64) Call {
	r.callStartedAt = now
	r.stats.Calls++
	c := Call{FullList: !r.hasRevision, SinceRevision: r.revision, Wait: watchWaitMs, Timeout: r.timeoutMs}
	if r.pushed {
		// An agent that does wait must have answered well before patience ends.
		c.Wait = min(r.periodMs, r.timeoutMs/2)
	}
	return c
}

// HandleResponse takes a list that came.
func (r *Poller) HandleResponse(now float64, a Response) Next {
	n := Next{At: now, Apply: true}
	switch {
	case !a.Complete && (!r.hasRevision || a.Revision < r.revision):
		// A service that has started anew, or has lost what it had, counts from elsewhere. What changed since a
		// list that we have not says nothing of the others.
		n.Apply, n.Err, r.hasRevision = false, ErrStaleRevision, false
		r.stats.Stale++
		n.At = r.callStartedAt + max(minWatchIntervalMs, r.paceMs())
		return n
	case a.Complete && a.EndpointCount == 0 && r.cachedNonEmpty:
		// It cannot be told from a service that has only just started: the last list holds, with all drains heard.
		n.Apply, n.Err, r.hasRevision = false, ErrEmptyList, false
		r.stats.Empty++
		n.At = now + max(minWatchIntervalMs, r.paceMs())
		return n
	}
	r.revision, r.hasRevision = a.Revision, true
	r.cachedNonEmpty = r.cachedNonEmpty && !a.Complete || a.EndpointCount > 0
	if r.pushed {
		n.At = max(now, r.callStartedAt+r.periodMs)
	} else if a.EndpointCount == 0 && now < r.callStartedAt+minWatchIntervalMs {
		n.At = r.callStartedAt + minWatchIntervalMs
	}
	return n
}

// HandleFailure takes a call that came to nothing: refused, reset, with an answer that is no list, or silent.
// Silence says that a connection is dead, where a service with too many callers refuses or resets. So where
// the list is asked for, a silent watch is opened anew at once: all brokers of a fleet together then call
// less often than their watches do, as each has waited out its patience. Any other failure is the module's
// to pace.
func (r *Poller) HandleFailure(now float64, silent bool) Next {
	r.stats.Failed++
	if !r.pushed {
		return Next{NotifyFailure: !silent, At: now + r.reopenDelayMs}
	}
	// An agent that was away may have started anew. It is on this machine: asking again at the usual pace
	// burdens nobody, and any longer delay would be missing when it speaks again.
	r.hasRevision = false
	return Next{At: max(now, r.callStartedAt+r.periodMs)}
}

func (r *Poller) paceMs() float64 {
	if r.pushed {
		return r.periodMs
	}
	return 0
}
