package membership

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
