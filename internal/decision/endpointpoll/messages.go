package endpointpoll

import "errors"

// ErrStaleRevision reports an incremental response that cannot be applied: it is older than the cached list, or no
// list is cached that it could extend. The next call requests the full list.
var ErrStaleRevision = errors.New("endpoint list revision is older than the cached one")

// ErrEmptyList reports a full response without any endpoint while the cached list has some. The cached list stays in
// force and the next call requests the full list.
var ErrEmptyList = errors.New("empty endpoint list in place of one with endpoints")

// Call describes the next call to discovery.
type Call struct {
	// FullList requests the full list; SinceRevision and Wait then do not go into the request.
	FullList bool
	// SinceRevision is the cached revision: only changes after it are requested.
	SinceRevision uint64
	// Wait is how long discovery may hold the call open while there is no change, in ms.
	Wait float64
	// Timeout is how long after its start a call without a response has failed, in ms. It always exceeds Wait.
	Timeout float64
}

// Response summarizes a well-formed endpoint list that answered a call.
type Response struct {
	// Complete says that the list is full; otherwise it holds only what has changed.
	Complete bool
	// Revision is the version of the list after this response.
	Revision uint64
	// EndpointCount is the number of endpoints in the response, removed ones included.
	EndpointCount int
}

// Next says what the caller does after a response or a failure.
type Next struct {
	// At is when the next call is due, in ms on the caller's clock. It is meaningless where NotifyFailure is set.
	At float64
	// Apply says that the received list goes to the scheduler.
	Apply bool
	// NotifyFailure says that the watch is over: the scheduler is notified and decides when it starts again.
	NotifyFailure bool
	// Err is why the received list must not be applied: ErrStaleRevision, ErrEmptyList or nil.
	Err error
}

// Stats counts what a Poller has seen since it was made.
type Stats struct {
	Calls  uint64 // calls begun
	Failed uint64 // calls without a usable response
	Stale  uint64 // responses rejected with ErrStaleRevision
	Empty  uint64 // responses rejected with ErrEmptyList
}
