package endpointpoll

// Poller tracks one broker's calls for its endpoint list.
//
// Invariants: at most one call is in flight; the list held by the scheduler has the cached revision wherever
// hasRevision is set; a list with endpoints is never replaced by an empty one.
type Poller struct {
	pushed         bool
	periodMs       float64
	timeoutMs      float64
	reopenDelayMs  float64
	revision       uint64
	hasRevision    bool // an incremental response may extend the list of this revision
	cachedNonEmpty bool // the cached list has endpoints
	callStartedAt  float64
	stats          Stats
}

// NewPoller returns a Poller without a cached list: its first call requests the full list.
func NewPoller(options Options) *Poller {
	return &Poller{
		pushed:        options.Pushed,
		periodMs:      options.period(),
		timeoutMs:     options.timeout(),
		reopenDelayMs: options.reopenDelay(),
	}
}

// Pushed reports whether the caller starts calls on its own, without the scheduler.
func (p *Poller) Pushed() bool { return p.pushed }

// Period returns the ms between the starts of two calls in the pushed mode.
func (p *Poller) Period() float64 { return p.periodMs }

// Timeout returns the ms after which a call without a response has failed.
func (p *Poller) Timeout() float64 { return p.timeoutMs }

// Stats returns the counts so far.
func (p *Poller) Stats() Stats { return p.stats }

// SetCached records the list that the broker was started with. In the pushed mode the first call still requests the
// full list, as a call to the local agent is cheap.
func (p *Poller) SetCached(revision uint64, endpointCount int) {
	p.revision = revision
	p.hasRevision = !p.pushed && (revision > 0 || endpointCount > 0)
	p.cachedNonEmpty = endpointCount > 0
}

// AddressChanged records that later calls go to another service. Revisions are not comparable between services, so
// the next call requests the full list.
func (p *Poller) AddressChanged() { p.hasRevision = false }

// BeginCall records the start of a call and returns how it is made.
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
		// An agent that holds calls open must still answer well within the timeout.
		call.Wait = min(p.periodMs, p.timeoutMs/2)
	}
	return call
}

// HandleResponse ends the call in flight with a well-formed list.
func (p *Poller) HandleResponse(now float64, response Response) Next {
	switch {
	case !response.Complete && (!p.hasRevision || response.Revision < p.revision):
		return p.rejectStale()
	case response.Complete && response.EndpointCount == 0 && p.cachedNonEmpty:
		return p.rejectEmpty(now)
	}
	p.revision = response.Revision
	p.hasRevision = true
	if response.Complete {
		p.cachedNonEmpty = false
	}
	if response.EndpointCount > 0 {
		p.cachedNonEmpty = true
	}
	next := Next{At: now, Apply: true}
	if p.pushed {
		next.At = max(now, p.callStartedAt+p.periodMs)
	} else if response.EndpointCount == 0 {
		next.At = max(now, p.callStartedAt+minWatchIntervalMs)
	}
	return next
}

// rejectStale handles an incremental response that does not extend the cached list. A service that has restarted or
// lost its state counts revisions from elsewhere, and its changes say nothing about the other endpoints.
func (p *Poller) rejectStale() Next {
	p.hasRevision = false
	p.stats.Stale++
	return Next{At: p.callStartedAt + p.retryIntervalMs(), Err: ErrStaleRevision}
}

// rejectEmpty handles a full list without endpoints. It looks like the list of a service that has only just
// started, so the cached list and all drain notifications stay in force.
func (p *Poller) rejectEmpty(now float64) Next {
	p.hasRevision = false
	p.stats.Empty++
	return Next{At: now + p.retryIntervalMs(), Err: ErrEmptyList}
}

// HandleFailure ends the call in flight without a usable list: refused, reset, malformed or timed out.
//
// A timeout means that a connection is dead, whereas an overloaded service refuses or resets. So a polled watch that
// timed out is reopened at once, spread over the brokers: as each has waited out its timeout, the fleet then calls less
// often than with healthy watches. The scheduler paces the retries after any other failure of a polled watch.
func (p *Poller) HandleFailure(now float64, timedOut bool) Next {
	p.stats.Failed++
	if !p.pushed {
		return Next{NotifyFailure: !timedOut, At: now + p.reopenDelayMs}
	}
	// The agent may have restarted, which invalidates the revision. It is local: the usual period burdens nobody, and a
	// backoff would delay the first list after its recovery.
	p.hasRevision = false
	return Next{At: max(now, p.callStartedAt+p.periodMs)}
}

// retryIntervalMs is the delay before the full list is requested after a rejected one.
func (p *Poller) retryIntervalMs() float64 {
	if p.pushed {
		return max(minWatchIntervalMs, p.periodMs)
	}
	return minWatchIntervalMs
}
