package endpointpoll

// The scheduler stops sending to a draining backend half a drain grace after it was notified. The other half covers
// reading a pushed list: one period, one timeout of an unresponsive call, and the time that the response takes.
const (
	// pollPeriodGraceRatio is the period of reading a pushed list, as a share of the drain grace.
	pollPeriodGraceRatio = 0.1
	// callTimeoutGraceRatio is the timeout of one reading, as a share of the drain grace.
	callTimeoutGraceRatio = 0.25
)

const (
	// minPeriodMs caps the load on the agent at 50 calls per second, however short the drain grace.
	minPeriodMs = 20.0
	// maxPeriodMs applies where no drain grace asks for a shorter period.
	maxPeriodMs = 200.0
)

const (
	// watchWaitMs is how long discovery may hold a watch open.
	watchWaitMs = 3000.0
	// responseAllowanceMs is added to watchWaitMs for the response itself. Their sum must stay below 6000 ms, after
	// which a broker counts as notified of a change that it did not read.
	responseAllowanceMs = 2000.0
	// reopenSpreadMs is the interval over which the brokers of a fleet reopen watches that timed out, each at the
	// offset that its index gives: one failed machine can time out the watches of all of them at once.
	reopenSpreadMs = 250.0
	// minWatchIntervalMs separates the starts of two calls of which the first returned no change early. It guards
	// against a service that does not hold watches open.
	minWatchIntervalMs = 20.0
)

// Options configure a Poller. The zero value polls a discovery service for a single broker.
type Options struct {
	// Pushed selects the pushed mode; by default the list is polled.
	Pushed bool
	// DrainGrace is how long after its notification a broker may still send work to a draining backend, in ms.
	// It sets the period and the timeout in the pushed mode; 0, the default, selects the longest period.
	DrainGrace float64
	// BrokerIndex is this broker's place among the brokers of the fleet, from 0 to BrokerCount-1.
	BrokerIndex int
	// BrokerCount is the number of brokers in the fleet; 0, the default, counts as 1.
	BrokerCount int
}

// period returns the ms between the starts of two calls to an agent.
func (o Options) period() float64 {
	if o.DrainGrace <= 0 {
		return maxPeriodMs
	}
	return min(max(o.DrainGrace*pollPeriodGraceRatio, minPeriodMs), maxPeriodMs)
}

// timeout returns the ms after which a call without a response has failed.
func (o Options) timeout() float64 {
	if o.Pushed {
		return max(o.period()*callTimeoutGraceRatio/pollPeriodGraceRatio, 2*minPeriodMs)
	}
	return watchWaitMs + responseAllowanceMs
}

// reopenDelay returns the ms between the timeout of a watch and its next call.
func (o Options) reopenDelay() float64 {
	return reopenSpreadMs * float64(o.BrokerIndex) / float64(max(1, o.BrokerCount))
}
