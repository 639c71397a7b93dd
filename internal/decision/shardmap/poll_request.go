package shardmap

// PollRequest is a call that is to be made to the source of the shard map.
type PollRequest struct {
	FullSnapshot   bool    // ask for a snapshot; otherwise for what changed after SinceEpoch
	SinceEpoch     uint64  // the epoch in use
	WaitMs         float64 // ms that the source may wait for a change before it answers; 0: it answers at once
	TimeoutMs      float64 // ms after which the call has failed
	CancelsPending bool    // a call is in flight and must be cancelled for this one
}
