package scheduler

// Actions carries out what the scheduler decides. The scheduler calls its methods from within its own methods; they
// must not call back into the scheduler.
type Actions interface {
	// Send starts the next attempt of a part. The attempts of a part are numbered from 0. timeoutMs is how long to
	// wait for the end of the attempt; 0 means until the query's deadline.
	Send(part uint64, replica uint32, timeoutMs float64)
	// Cancel stops waiting for an attempt.
	Cancel(part uint64, attempt int)
	// CloseIdleConnections closes this broker's idle connections to a replica; the next attempt opens a new one.
	CloseIdleConnections(replica uint32)
	// Answer ends a query, or its first step, with the parts that have arrived.
	Answer(query uint64, complete bool)
	// Reject ends a query and tells the client that a retry after retryAfterMs is safe.
	Reject(query uint64, retryAfterMs float64)
	// Fail ends a query. It does not tell the client whether a retry is safe.
	Fail(query uint64)
	// SetTimer requests TimerFired and a round after the given time, in ms.
	SetTimer(afterMs float64)
	// WatchEndpoints polls or watches the endpoint list; the result is reported with EndpointsChanged.
	WatchEndpoints()
	// Log writes one line for operators.
	Log(text string)
}
