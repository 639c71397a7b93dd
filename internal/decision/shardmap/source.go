package shardmap

// Source delivers snapshots and changes of the shard map from somewhere outside. All its methods are called on the
// event loop, and it delivers there.
type Source interface {
	// Start begins to poll.
	Start()
	// NewerEpochSeen reports that a backend or client has a map of this epoch. Calls in quick succession lead to one
	// poll.
	NewerEpochSeen(epoch uint64)
	// Close ends polling; nothing is delivered after it.
	Close()
}
