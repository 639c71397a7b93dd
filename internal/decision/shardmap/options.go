package shardmap

// The default bounds of a Map.
const (
	DefaultMaxShards   = 1 << 20
	DefaultMaxVersions = 256
	DefaultMaxRetired  = 1 << 16
)

// minVersions is the smallest MaxVersions: the version in use and one that queries still hold.
const minVersions = 2

// Options configure a Map.
type Options struct {
	// MaxShards limits the number of shards in one version; 0 or less means DefaultMaxShards.
	MaxShards int
	// MaxVersions limits how many versions are retained for the queries that were started on them, the version in use
	// included. 0 or less means DefaultMaxVersions, and 1 means 2.
	MaxVersions int
	// MaxRetired limits how many retired shards are recorded, so that their ids can be resolved; 0 or less means
	// DefaultMaxRetired.
	MaxRetired int
	// ReplicaNumber returns the scheduler's number for a backend id, or false if the id is not in the endpoint list.
	// If ReplicaNumber is nil, no group has replicas.
	ReplicaNumber func(backend string) (uint32, bool)
}

func (o Options) withDefaults() Options {
	o.MaxShards = positiveOr(o.MaxShards, DefaultMaxShards)
	o.MaxVersions = max(positiveOr(o.MaxVersions, DefaultMaxVersions), minVersions)
	o.MaxRetired = positiveOr(o.MaxRetired, DefaultMaxRetired)
	return o
}

func positiveOr(value, fallback int) int {
	if value > 0 {
		return value
	}
	return fallback
}
