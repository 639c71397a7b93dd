package slicemap

// The bounds where the operators state none.
const (
	DefaultMaxShards   = 1 << 20 // in one version
	DefaultMaxVersions = 256     // kept for the queries that began on them
	DefaultMaxRetired  = 1 << 16 // retired slices by which an old name is understood
)

// Options are the bounds of a map, and what it must be told.
type Options struct {
	MaxShards, MaxVersions, MaxRetired int
	// ReplicaNumber is a node's number for the decision module; false if the list does not have it.
	ReplicaNumber func(node string) (uint32, bool)
}
