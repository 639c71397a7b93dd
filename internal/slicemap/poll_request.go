package slicemap

// PollRequest is what a source is to be asked.
type PollRequest struct {
	FullSnapshot   bool    // the whole map; else what changed since Index
	SinceEpoch     uint64  // the epoch in use
	WaitMs         float64 // ms that the source may wait for news; 0: it answers at once
	TimeoutMs      float64 // ms after which the call has failed
	CancelsPending bool    // a call is out: it is given up for this one
}
