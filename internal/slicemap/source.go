package slicemap

// Source is where the map comes from: it follows something outside and hands maps and changes on, all on the
// loop.
type Source interface {
	// Start begins to follow.
	Start()
	// NewerEpochSeen tells that a map of this epoch is known somewhere. Hints of one moment lead to one read.
	NewerEpochSeen(epoch uint64)
	// Close ends it.
	Close()
}
