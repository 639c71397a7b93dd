package endpointpoll

import "errors"

// ErrStaleRevision reports an incremental response that cannot be applied: it is older than the cached list, or no
// list is cached that it could update. The next call requests the full list.
var ErrStaleRevision = errors.New("endpoint list revision is older than the cached one")

// ErrEmptyList reports a full response without endpoints while the cached list has some. The cached list stays in
// use, and the next call requests the full list.
var ErrEmptyList = errors.New("empty endpoint list in place of one with endpoints")

// Call describes the next call to discovery.
type Call struct {
	// FullList says to request the full list, without SinceRevision and Wait.
	FullList bool
	// SinceRevision is the cached revision. The call requests only changes after it.
	SinceRevision uint64
	// Wait is how long discovery may hold the call open while there is no change, in ms.
	Wait float64
	// Timeout is how long after its start a call without a response has failed, in ms. It always exceeds Wait.
	Timeout float64
}

// Response summarizes a well-formed endpoint list that answered a call.
type Response struct {
	// Complete says that the response is the full list; otherwise it has only the changes.
	Complete bool
	// Revision is the revision of the list after this response is applied.
	Revision uint64
	// EndpointCount is the number of endpoints in the response, including removed ones.
	EndpointCount int
}

// Next tells the caller what to do after a response or a failure.
type Next struct {
	// At is when the next call is due, in ms on the caller's clock. It has no meaning if NotifyFailure is set.
	At float64
	// Apply says to pass the received list to the scheduler.
	Apply bool
	// NotifyFailure says to notify the scheduler that the watch has failed. The scheduler decides when to restart it.
	NotifyFailure bool
	// Err is the reason why the received list must not be applied: ErrStaleRevision, ErrEmptyList or nil.
	Err error
}

// Stats holds the counters of a Poller since it was created.
type Stats struct {
	Calls  uint64 // calls started
	Failed uint64 // calls without a usable response
	Stale  uint64 // responses rejected with ErrStaleRevision
	Empty  uint64 // responses rejected with ErrEmptyList
}
