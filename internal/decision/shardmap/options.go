package shardmap

// The bounds of a Map where its Options give none.
const (
	DefaultMaxShards   = 1 << 20
	DefaultMaxVersions = 256
	DefaultMaxRetired  = 1 << 16
)

// minVersions is the least MaxVersions: the version in use and one that queries still hold.
const minVersions = 2

// Options configure a Map.
type Options struct {
	// MaxShards is the largest number of shards in one version; DefaultMaxShards if 0 or less.
	MaxShards int
	// MaxVersions is how many versions are retained for the queries that were started on them, the version in use
	// included; DefaultMaxVersions if 0 or less, and 2 at least.
	MaxVersions int
	// MaxRetired is how many retired shards are remembered, so that their ids can be resolved; DefaultMaxRetired if 0
	// or less.
	MaxRetired int
	// ReplicaNumber is the scheduler's number for a backend id; false if the endpoint list does not have it. Without
	// it no group has replicas.
	ReplicaNumber func(backend string) (uint32, bool)
}

func (o Options) withDefaults() Options {
	o.MaxShards = positiveOr(o.MaxShards, DefaultMaxShards)
	o.MaxVersions = max(positiveOr(o.MaxVersions, DefaultMaxVersions), minVersions)
	o.MaxRetired = positiveOr(o.MaxRetired, DefaultMaxRetired)
	return o
}

func positiveOr(value, otherwise int) int {
	if value > 0 {
		return value
	}
	return otherwise
}
