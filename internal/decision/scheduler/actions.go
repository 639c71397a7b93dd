package scheduler

// Actions is what the caller carries out for the scheduler. The methods are called from within the scheduler's own;
// they must not call back into it.
type Actions interface {
	// Send starts the next attempt of a part; attempts are numbered 0, 1, 2 and so on. timeoutMs is how long to
	// wait for its end; 0 means until the query's deadline.
	Send(part uint64, replica uint32, timeoutMs float64)
	// Cancel stops waiting for an attempt.
	Cancel(part uint64, attempt int)
	// CloseIdleConnections closes this broker's idle connections to a replica; the next send opens a new one.
	CloseIdleConnections(replica uint32)
	// Answer ends a query, or its first step, with the parts that have arrived.
	Answer(query uint64, complete bool)
	// Reject ends a query and tells the client that asking again after retryAfterMs is harmless.
	Reject(query uint64, retryAfterMs float64)
	// Fail ends a query without any promise.
	Fail(query uint64)
	// SetTimer asks for TimerFired, and a round, after a time in ms.
	SetTimer(afterMs float64)
	// WatchEndpoints polls or watches the endpoint list; EndpointsChanged follows.
	WatchEndpoints()
	// Log writes one line for the engineers on call.
	Log(text string)
}
