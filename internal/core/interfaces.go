package core

// Client is where the final answer of a request goes.
type Client interface {
	// Finish is called exactly once, unless the client has left before.
	Finish(Answer)
}

// Backend carries attempts to nodes. It must not call back into Core from within these methods: what it
// learns at once it reports with Later.
type Backend interface {
	// Send starts an attempt. Attempts of one turn to one node may share a call.
	Send(*Attempt)
	// Flush ends the turn: what was sent goes out.
	Flush()
	// Withdraw takes an attempt back that has not begun: nothing of it goes out. False if it has begun.
	Withdraw(*Attempt) bool
	// Abandon withdraws an attempt, or else ends the wait for it and tells its node so. It tells whether the
	// attempt provably never ran nor will run.
	Abandon(*Attempt) (neverRan bool)
	// CloseIdleConnections closes idle connections to a node.
	CloseIdleConnections(node uint32)
}

// EndpointList is where the list of nodes comes from.
type EndpointList interface {
	// Watch subscribes to changes; it does nothing while a watch runs.
	Watch()
}

// Clock is the loop as core sees it.
type Clock interface {
	Now() float64
	// WakeAt asks for a turn at that time at the latest.
	WakeAt(at float64)
}

// Log takes the module's lines and what core has to say.
type Log interface {
	SchedulerLine(text string)
	RequestEnded(r *Request, a Answer)
}
