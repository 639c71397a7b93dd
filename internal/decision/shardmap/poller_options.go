package shardmap

// PollerOptions configure a Poller. There are no defaults for single fields: start from DefaultPollerOptions.
type PollerOptions struct {
	// WatchTimeoutMs is how long, in ms, the source may delay the answer to a watch while nothing changes.
	WatchTimeoutMs float64
	// JitterMs is the largest random delay, in ms, of a poll after NewerEpochSeen; it spreads the polls of brokers.
	JitterMs float64
	// MinIntervalMs is the least time, in ms, between two polls after NewerEpochSeen.
	MinIntervalMs float64
	// BackoffMinMs is the nominal delay, in ms, after the first failure; it doubles with each further one.
	BackoffMinMs float64
	// BackoffMaxMs bounds the nominal delay after failures, and the interval between fruitless polls, in ms.
	BackoffMaxMs float64
}

// DefaultPollerOptions apply where operators configure nothing.
var DefaultPollerOptions = PollerOptions{
	WatchTimeoutMs: 20_000,
	JitterMs:       50,
	MinIntervalMs:  250,
	BackoffMinMs:   100,
	BackoffMaxMs:   4000,
}
