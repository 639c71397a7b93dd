package shardmap

// PollerOptions configure a Poller. Single fields have no defaults: start from DefaultPollerOptions.
type PollerOptions struct {
	// WatchTimeoutMs is how long, in ms, the source may delay the answer to a watch while nothing changes.
	WatchTimeoutMs float64
	// JitterMs is the longest random delay, in ms, of a poll after NewerEpochSeen. It spreads the polls of brokers
	// that learn of an epoch at the same time.
	JitterMs float64
	// MinIntervalMs is the shortest interval, in ms, between two polls after NewerEpochSeen.
	MinIntervalMs float64
	// BackoffMinMs is the nominal delay, in ms, after the first failure. The delay doubles with each further failure.
	BackoffMinMs float64
	// BackoffMaxMs limits the nominal delay after failures, in ms. It also limits the interval between polls after
	// NewerEpochSeen, which doubles while they bring no newer epoch.
	BackoffMaxMs float64
}

// DefaultPollerOptions apply if operators configure nothing.
var DefaultPollerOptions = PollerOptions{
	WatchTimeoutMs: 20_000,
	JitterMs:       50,
	MinIntervalMs:  250,
	BackoffMinMs:   100,
	BackoffMaxMs:   4000,
}
