package membership

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

func (r *Poller) paceMs() float64 {
	if r.pushed {
		return r.periodMs
	}
	return 0
}
