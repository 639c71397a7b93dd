package shardmap

// Source delivers snapshots and changes of the shard map from outside the process. Its methods must be called on the
// event loop, and it delivers on the event loop.
type Source interface {
	// Start starts polling.
	Start()
	// NewerEpochSeen tells the source that a backend or client has a map of this epoch. Several calls in quick
	// succession lead to a single poll.
	NewerEpochSeen(epoch uint64)
	// Close stops polling. Nothing is delivered after it.
	Close()
}
