package shardmap

// PollRequest describes a call that the caller must make to the source of the shard map.
type PollRequest struct {
	FullSnapshot   bool    // request a snapshot instead of the changes after SinceEpoch
	SinceEpoch     uint64  // the epoch in use
	WaitMs         float64 // how long the source may delay its answer while nothing changes; 0 means not at all
	TimeoutMs      float64 // how long after its start a call without an answer has failed
	CancelsPending bool    // a call is in flight and must be cancelled first
}
