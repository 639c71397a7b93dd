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
	callIsPrompt  bool    // the call in flight is one that is answered at once
	overdue       silence // whether changes may count as notified that have not been received
	stats         Stats
}

// silence tracks a polled list from a watch that timed out to the next response. A change that the watch missed counts
// as notified at the latest 6 s after the watch fell silent, whatever fails meanwhile. Worst case in ms:
//
//	3000  watchWaitMs, if the watch fell silent when it was opened
//	 500  watchLatenessMs
//	 250  reopenSpreadMs
//	2500  promptTimeoutMs, if the next call fails as well
//	 250  for the response of the call after that
//	 500  until the scheduler stops sending: half of a drain grace of 1 s
//
// The sum is 7000, and the drain grace ends 7000 after the watch fell silent. A call that fails with an error takes
// 2000 at most and is followed by another within reopenSpreadMs. If a further call fails, the scheduler's backoff
// applies.
type silence struct {
	began      bool // a watch has timed out since the last response
	promptNext bool // the next call is to be answered at once
	retried    bool // a call failed with an error and was repeated without a backoff
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

// Timeout returns how long after its start a call to an agent, or a watch, without a response has failed, in ms.
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
func (p *Poller) AddressChanged() {
	p.hasRevision = false
	p.overdue = silence{}
}

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
	p.callIsPrompt = !p.pushed && (p.overdue.promptNext || call.FullList)
	switch {
	case p.callIsPrompt:
		call.Wait = promptWaitMs
		call.Timeout = promptTimeoutMs
	case p.pushed:
		// Should the agent hold calls open, it must still answer well within the timeout.
		call.Wait = min(p.periodMs, p.timeoutMs/2)
	}
	return call
}

// HandleResponse ends the call in flight, which the given well-formed list has answered. It returns what to do next.
func (p *Poller) HandleResponse(now float64, response Response) Next {
	p.overdue = silence{}
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
func (p *Poller) HandleFailure(now float64, timedOut bool) Next {
	p.stats.Failed++
	switch {
	case p.pushed:
		// The agent may have restarted, which invalidates the revision. The agent is local, so calls at the usual
		// period load no other process, and a backoff would only delay the first list after its recovery.
		p.hasRevision = false
		return Next{At: max(now, p.callStartedAt+p.periodMs)}
	case timedOut:
		return p.handleTimeout(now)
	case p.overdue.began && !p.overdue.retried:
		p.overdue.retried = true
		p.overdue.promptNext = true
		return Next{At: now + p.reopenDelayMs}
	}
	p.overdue.promptNext = false
	return Next{NotifyFailure: true}
}

// handleTimeout ends a call to a service that did not respond.
//
// A timeout means that the connection is dead, whereas an overloaded service refuses or resets connections. Therefore
// the next call does not wait for a backoff, but for a short delay, which differs between brokers. This does not
// overload the service: each broker has waited for the whole timeout, so the fleet calls less often than with healthy
// watches. After any other failure, the scheduler decides when the next call is due.
func (p *Poller) handleTimeout(now float64) Next {
	p.overdue.began = true
	p.overdue.promptNext = !p.callIsPrompt
	if p.callIsPrompt {
		return Next{At: now} // the call before it has waited for the delay
	}
	return Next{At: now + p.reopenDelayMs}
}

// fullListDelayMs returns the delay, in ms, before the full list is requested after a list was discarded.
func (p *Poller) fullListDelayMs() float64 {
	if p.pushed {
		return max(minWatchIntervalMs, p.periodMs)
	}
	return minWatchIntervalMs
}
