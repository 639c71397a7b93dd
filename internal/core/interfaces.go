package core

// Client receives the final answer of one request.
type Client interface {
	// Deliver is called exactly once, and not at all if the client disconnected before. It may be called from within
	// Core.Submit, and must not call back into Core.
	Deliver(Answer)
}

// Transport carries attempts to the backends. Its methods must not call back into Core, except for
// Core.AttemptEndedLater.
type Transport interface {
	// Send takes an attempt. The attempts of one scheduling round to one backend may share a call.
	Send(*Attempt)
	// Flush ends the scheduling round: the attempts taken since the last Flush are sent.
	Flush()
	// Withdraw takes back an attempt that has not begun, so that nothing of it is sent. It is false if the attempt
	// has begun.
	Withdraw(*Attempt) bool
	// Abandon withdraws an attempt, or, if it has begun, ends the wait for it and notifies its backend. It reports
	// whether the attempt provably neither ran nor will run.
	Abandon(*Attempt) (neverRan bool)
	// CloseIdleConnections closes the idle connections to a backend, by its replica number.
	CloseIdleConnections(replica uint32)
}

// EndpointList is the source of the endpoint list.
type EndpointList interface {
	// Watch subscribes to changes, which come by Core.EndpointsChanged. It does nothing while a watch is open.
	Watch()
}

// Clock is the event loop as core needs it.
type Clock interface {
	// Now is the time of the current wake-up, in ms.
	Now() float64
	// WakeAt asks for a scheduling round at that time at the latest; one in the past asks for it at once. Of several
	// calls the earliest time counts.
	WakeAt(at float64)
}

// Log takes the scheduler's lines and the ends of requests.
type Log interface {
	// SchedulerLine takes one line for the people on call.
	SchedulerLine(text string)
	// RequestEnded is called once for each request that was accepted, before Client.Deliver.
	RequestEnded(request *Request, answer Answer)
}
