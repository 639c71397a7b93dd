package fleetshare

import "math"

const (
	// minFactorOfLargeFleet is the least factor for a large fleet: the time that a query needs, in times of its
	// last part. Smaller fleets, whose brokers see more queries, may go lower.
	minFactorOfLargeFleet = 2.0
	// neededTimeQuantile is the quantile of observed times that a query must have left.
	neededTimeQuantile = 0.35
	// neededTimeStep is the most by which one query moves the logarithm of the factor.
	neededTimeStep = 0.3
	// factorRangeOfSmallFleet is the range of the factor for a small fleet; it shrinks with the number of brokers.
	factorRangeOfSmallFleet = 6.0
	// lastPartSpread is how much longer the last part takes, in times of a mean part, for each factor e of parts.
	lastPartSpread = 0.5
)

// DeadlineAdmission rejects queries that arrive with less time left than queries need. Work for a query whose client
// leaves before the answer is wasted, and a broker with little traffic has nothing queued that would show it.
//
// The time needed is a factor times the expected time of the query's last part. The factor is learned as a quantile
// of what queries took. An incomplete query took longer than it was waited for, which tells something only if that
// is more than the factor; queries that were rejected do not count, so the factor is not biased by its own effect.
//
// The factor has a lower bound that rises with the number of brokers: what one broker's late queries waste is missed
// by the queries of all others, which none of them sees. Its range shrinks with the number of brokers, as each sees
// too few queries to learn a quantile. In small fleets nothing is rejected.
type DeadlineAdmission struct {
	factor    float64 // 0 in a small fleet
	minFactor float64
	maxFactor float64
}

// NewDeadlineAdmission makes the admission of one of so many brokers.
func NewDeadlineAdmission(brokers int) DeadlineAdmission {
	minFactor := minFactorOfLargeFleet * largeFleetWeight(brokers)
	factorRange := factorRangeOfSmallFleet * SmallFleetBrokers / math.Max(1, float64(brokers))
	return DeadlineAdmission{factor: minFactor, minFactor: minFactor, maxFactor: minFactor + factorRange}
}

// ExpectedLastPartMs is the expected time, in ms, of the last of so many parts where a mean part takes partMs.
func ExpectedLastPartMs(partMs float64, parts int) float64 {
	return partMs * (1 + lastPartSpread*math.Log(math.Max(1, float64(parts))))
}

// IsTooLate reports whether a query with remainingMs left is better rejected, where its last part is expected to
// take lastPartMs.
func (d *DeadlineAdmission) IsTooLate(remainingMs, lastPartMs float64) bool {
	return remainingMs < d.factor*lastPartMs
}

// QueryEnded learns from a query that ended after ageMs, whose last part was expected to take lastPartMs when it
// arrived. A lastPartMs of 0 tells nothing.
func (d *DeadlineAdmission) QueryEnded(ageMs, lastPartMs float64, complete bool) {
	if d.factor == 0 || lastPartMs <= 0 {
		return
	}
	tookLonger := ageMs >= d.factor*lastPartMs
	step := neededTimeQuantile
	switch {
	case !complete && !tookLonger:
		return
	case complete && !tookLonger:
		step = neededTimeQuantile - 1
	}
	moved := d.factor * math.Exp(neededTimeStep*step)
	d.factor = math.Min(math.Max(moved, d.minFactor), d.maxFactor)
}
