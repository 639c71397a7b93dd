package endpointpoll

// Poller tracks one broker's calls for its endpoint list.
//
// Invariants: at most one call is in flight; while hasRevision is set, the scheduler's list has the cached revision;
// an empty list never replaces one with endpoints.
type Poller struct {
	pushed        bool
	periodMs      float64
	timeoutMs     float64
	reopenDelayMs float64
	revision      uint64  // of the cached list
	hasRevision   bool    // changes after revision can be applied to the cached list
	hasEndpoints  bool    // the cached list has endpoints
	callStartedAt float64 // ms
	stats         Stats
}

// NewPoller returns a Poller without a cached list. Its first call requests the full list.
func NewPoller(options Options) *Poller {
	return &Poller{
		pushed:        options.Pushed,
		periodMs:      options.periodMs(),
		timeoutMs:     options.timeoutMs(),
		reopenDelayMs: options.reopenDelayMs(),
	}
}

// Pushed reports whether the Poller is in the pushed mode, in which the caller starts calls without the scheduler.
func (p *Poller) Pushed() bool { return p.pushed }

// Period returns the interval between the starts of two calls in the pushed mode, in ms.
func (p *Poller) Period() float64 { return p.periodMs }

// Timeout returns how long after its start a call without a response has failed, in ms.
func (p *Poller) Timeout() float64 { return p.timeoutMs }

// Stats returns the counters.
func (p *Poller) Stats() Stats { return p.stats }

// SetCached records the revision and size of the list that the broker was started with. In the pushed mode the first
// call still requests the full list, as a call to the local agent is cheap.
func (p *Poller) SetCached(revision uint64, endpointCount int) {
	p.revision = revision
	p.hasRevision = !p.pushed && (revision > 0 || endpointCount > 0)
	p.hasEndpoints = endpointCount > 0
}

// AddressChanged records that later calls go to another service. Revisions of different services are not comparable,
// so the next call requests the full list.
func (p *Poller) AddressChanged() { p.hasRevision = false }

// BeginCall records the start of a call and returns what to request.
func (p *Poller) BeginCall(now float64) Call {
	p.callStartedAt = now
	p.stats.Calls++
	call := Call{
		FullList:      !p.hasRevision,
		SinceRevision: p.revision,
		Wait:          watchWaitMs,
		Timeout:       p.timeoutMs,
	}
	if p.pushed {
		// Should the agent hold calls open, it must still answer well within the timeout.
		call.Wait = min(p.periodMs, p.timeoutMs/2)
	}
	return call
}

// HandleResponse ends the call in flight, which the given well-formed list has answered. It returns what to do next.
func (p *Poller) HandleResponse(now float64, response Response) Next {
	switch {
	case !response.Complete && (!p.hasRevision || response.Revision < p.revision):
		return p.discardStale()
	case response.Complete && response.EndpointCount == 0 && p.hasEndpoints:
		return p.discardEmpty(now)
	}
	p.revision = response.Revision
	p.hasRevision = true
	if response.Complete {
		p.hasEndpoints = false
	}
	if response.EndpointCount > 0 {
		p.hasEndpoints = true
	}
	next := Next{At: now, Apply: true}
	if p.pushed {
		next.At = max(now, p.callStartedAt+p.periodMs)
	} else if response.EndpointCount == 0 {
		next.At = max(now, p.callStartedAt+minWatchIntervalMs)
	}
	return next
}

// discardStale handles an incremental response that cannot be applied to the cached list. A service that has
// restarted or lost its state may count revisions from a lower number, and its changes do not cover the other
// endpoints.
func (p *Poller) discardStale() Next {
	p.hasRevision = false
	p.stats.Stale++
	return Next{At: p.callStartedAt + p.fullListDelayMs(), Err: ErrStaleRevision}
}

// discardEmpty handles a full list without endpoints while the cached list has some. A service that has just started
// sends such a list, so the cached list and all drain notifications stay in effect.
func (p *Poller) discardEmpty(now float64) Next {
	p.hasRevision = false
	p.stats.Empty++
	return Next{At: now + p.fullListDelayMs(), Err: ErrEmptyList}
}

// HandleFailure ends the call in flight without a usable list: the connection was refused or reset, or the response
// was malformed or timed out. It returns what to do next.
//
// A timeout means that the connection is dead, whereas an overloaded service refuses or resets connections. Therefore
// a polled watch that timed out is reopened after a short delay, which differs between brokers. This does not
// overload the service: each broker has waited for the whole timeout, so the fleet calls less often than with healthy
// watches. After any other failure of a polled watch, the scheduler decides when to restart it.
func (p *Poller) HandleFailure(now float64, timedOut bool) Next {
	p.stats.Failed++
	if !p.pushed {
		return Next{NotifyFailure: !timedOut, At: now + p.reopenDelayMs}
	}
	// The agent may have restarted, which invalidates the revision. The agent is local, so calls at the usual period
	// load no other process, and a backoff would only delay the first list after its recovery.
	p.hasRevision = false
	return Next{At: max(now, p.callStartedAt+p.periodMs)}
}

// fullListDelayMs returns the delay, in ms, before the full list is requested after a list was discarded.
func (p *Poller) fullListDelayMs() float64 {
	if p.pushed {
		return max(minWatchIntervalMs, p.periodMs)
	}
	return minWatchIntervalMs
}
