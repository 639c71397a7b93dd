package core

// Client receives the final answer of one request.
type Client interface {
	// Deliver receives the final answer. Core calls it exactly once, or never if the client disconnected before. The
	// call may come from within Core.Submit. Deliver must not call back into Core.
	Deliver(Answer)
}

// Transport carries attempts to the backends. Its methods must not call back into Core, except for
// Core.AttemptEndedLater.
type Transport interface {
	// Send accepts an attempt for sending. Attempts of one scheduling round to the same backend may share a call.
	Send(*Attempt)
	// Flush ends the scheduling round and sends the attempts accepted since the last Flush.
	Flush()
	// Withdraw removes an attempt that has not begun, so that nothing of it is sent. It returns false if the attempt
	// has begun.
	Withdraw(*Attempt) bool
	// Abandon withdraws an attempt. If the attempt has begun, Abandon stops waiting for it and notifies its backend.
	// It reports whether the attempt provably neither ran nor will run.
	Abandon(*Attempt) (neverRan bool)
	// CloseIdleConnections closes the idle connections to the backend with this replica number.
	CloseIdleConnections(replica uint32)
}

// EndpointList is the source of the endpoint list.
type EndpointList interface {
	// Watch subscribes to changes, which are passed to Core.EndpointsChanged. It does nothing while a watch is open.
	Watch()
}

// Clock is the part of the event loop that core uses: the time, and requests for scheduling rounds.
type Clock interface {
	// Now returns the time of the current wake-up, in ms.
	Now() float64
	// WakeAt requests a scheduling round no later than the given time, or at once if that time is past. The earliest
	// of several requested times counts.
	WakeAt(at float64)
}

// Log receives the scheduler's log lines and the ends of requests.
type Log interface {
	// SchedulerLine logs one line for the engineers on call.
	SchedulerLine(text string)
	// RequestEnded is called once for each request that was accepted, before Client.Deliver.
	RequestEnded(request *Request, answer Answer)
}
