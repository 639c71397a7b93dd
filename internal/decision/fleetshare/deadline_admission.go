package fleetshare

import "math"

const (
	// minFactorOfLargeFleet is the lower bound of the factor in a large fleet. The factor is the time that a query
	// needs as a multiple of the expected time of its last part. The bound is lower in smaller fleets, where each
	// broker sees more of the queries.
	minFactorOfLargeFleet = 2.0
	// neededTimeQuantile is the quantile of the observed times that a query must have left.
	neededTimeQuantile = 0.35
	// neededTimeStep limits how far one query moves the logarithm of the factor.
	neededTimeStep = 0.3
	// factorRangeOfSmallFleet is the width of the factor's range for SmallFleetBrokers brokers. The width is
	// inversely proportional to the number of brokers.
	factorRangeOfSmallFleet = 6.0
	// lastPartSpread is how much longer the last part takes, in times of a mean part, when the number of parts grows
	// by a factor of e.
	lastPartSpread = 0.5
)

// DeadlineAdmission rejects queries that arrive with less time left than queries need. Work for a query whose client
// leaves before the answer is wasted. A broker with little traffic cannot see this from a queue, as it has nothing
// queued.
//
// The time needed is a factor times the expected time of the query's last part. The factor is learned as a quantile
// of the time that queries took. An incomplete query would have taken longer than it ran, so it counts only if it
// already ran longer than the factor allows. Rejected queries do not count, so the factor is not biased by its own
// effect.
//
// The factor has a lower bound that rises with the number of brokers: the work that is wasted on one broker's late
// queries is missing for the queries of all other brokers, and none of them sees that. The range of the factor
// shrinks with the number of brokers, as each broker sees too few queries to learn a quantile. In small fleets
// nothing is rejected.
type DeadlineAdmission struct {
	factor    float64 // 0 in a small fleet
	minFactor float64
	maxFactor float64
}

// NewDeadlineAdmission returns the admission of one broker in a fleet of brokerCount.
func NewDeadlineAdmission(brokerCount int) DeadlineAdmission {
	minFactor := minFactorOfLargeFleet * largeFleetWeight(brokerCount)
	factorRange := factorRangeOfSmallFleet * SmallFleetBrokers / math.Max(1, float64(brokerCount))
	return DeadlineAdmission{factor: minFactor, minFactor: minFactor, maxFactor: minFactor + factorRange}
}

// ExpectedLastPartMs returns the expected time, in ms, until the last of partCount parts ends, if a mean part takes
// partMs.
func ExpectedLastPartMs(partMs float64, partCount int) float64 {
	return partMs * (1 + lastPartSpread*math.Log(math.Max(1, float64(partCount))))
}

// IsTooLate reports whether to reject a query with remainingMs left whose last part is expected to take lastPartMs.
func (d *DeadlineAdmission) IsTooLate(remainingMs, lastPartMs float64) bool {
	return remainingMs < d.factor*lastPartMs
}

// QueryEnded updates the factor after a query that ended at the age of ageMs. lastPartMs is the time that its last
// part was expected to take when the query arrived. A query with a lastPartMs of 0 is ignored.
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
	next := d.factor * math.Exp(neededTimeStep*step)
	d.factor = math.Min(math.Max(next, d.minFactor), d.maxFactor)
}
