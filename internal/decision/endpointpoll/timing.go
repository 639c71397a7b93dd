package endpointpoll

// The scheduler stops sending to a draining backend half a drain grace after it was notified. The other half must
// cover reading a pushed list: one period, one timeout of an unresponsive call, and the duration of the response.
const (
	// pollPeriodGraceRatio is the period of reading a pushed list, as a fraction of the drain grace.
	pollPeriodGraceRatio = 0.1
	// callTimeoutGraceRatio is the timeout of one call to the agent, as a fraction of the drain grace.
	callTimeoutGraceRatio = 0.25
)

const (
	// minPeriodMs limits the load on the agent to 50 calls per second, however short the drain grace is.
	minPeriodMs = 20.0
	// maxPeriodMs applies unless the drain grace requires a shorter period.
	maxPeriodMs = 200.0
)

const (
	// watchWaitMs is how long discovery may hold a watch open.
	watchWaitMs = 3000.0
	// watchLatenessMs is how late the response to a watch may come after watchWaitMs. A later watch counts as silent.
	watchLatenessMs = 500.0
	// promptWaitMs is how long discovery may hold open the call that follows a silent watch. The response comes at once,
	// so that a call that is silent as well can be told from a watch without changes.
	promptWaitMs = 1.0
	// promptTimeoutMs is the timeout of a call that is answered at once. Discovery fails calls that wait for longer than
	// 2 s. A watch and such a call that both time out take two waits, so that an unresponsive service is called no more
	// often than a healthy one.
	promptTimeoutMs = 2*watchWaitMs - (watchWaitMs + watchLatenessMs)
	// reopenSpreadMs is the interval over which the brokers of a fleet reopen watches that timed out. Each broker's
	// offset follows from its index. Without it, one failed machine, which can time out the watches of all brokers at
	// once, would make all of them call at once.
	reopenSpreadMs = 250.0
	// minWatchIntervalMs is the shortest interval between the starts of two calls if the first returned no change. It
	// limits the rate of calls to a service that does not hold watches open.
	minWatchIntervalMs = 20.0
)

// Options configure a Poller. The zero value polls a discovery service for a single broker.
type Options struct {
	// Pushed selects the pushed mode. By default the list is polled.
	Pushed bool
	// DrainGrace is how long after its notification a broker may still send work to a draining backend, in ms. In the
	// pushed mode it determines the period and the timeout. 0, the default, selects the longest period.
	DrainGrace float64
	// BrokerIndex is the index of this broker in the fleet, from 0 to BrokerCount-1.
	BrokerIndex int
	// BrokerCount is the number of brokers in the fleet. 0, the default, means 1.
	BrokerCount int
}

// periodMs returns the interval between the starts of two calls to an agent.
func (o Options) periodMs() float64 {
	if o.DrainGrace <= 0 {
		return maxPeriodMs
	}
	return min(max(o.DrainGrace*pollPeriodGraceRatio, minPeriodMs), maxPeriodMs)
}

// timeoutMs returns how long after its start a call to an agent, or a watch, without a response has failed.
func (o Options) timeoutMs() float64 {
	if o.Pushed {
		return max(o.periodMs()*callTimeoutGraceRatio/pollPeriodGraceRatio, 2*minPeriodMs)
	}
	return watchWaitMs + watchLatenessMs
}

// reopenDelayMs returns the delay from the timeout of a watch to its next call.
func (o Options) reopenDelayMs() float64 {
	return reopenSpreadMs * float64(o.BrokerIndex) / float64(max(1, o.BrokerCount))
}
