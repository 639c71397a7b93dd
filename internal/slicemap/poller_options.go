package slicemap

// PollerOptions are the times of following a source, in ms.
type PollerOptions struct {
	WatchTimeoutMs float64 // of one watch call
	JitterMs       float64 // a read on a hint comes up to so much later, so that brokers do not come together
	MinIntervalMs  float64 // between two reads on hints at least
	BackoffMinMs   float64 // first delay after a failed call; it doubles
	BackoffMaxMs   float64 // to this
}

// DefaultPollerOptions is what holds where the operators state nothing.
var DefaultPollerOptions = PollerOptions{WatchTimeoutMs: 20_000, JitterMs: 50, MinIntervalMs: 250, BackoffMinMs: 100, BackoffMaxMs: 4000}
