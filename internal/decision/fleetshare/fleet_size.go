package fleetshare

import "math"

// SmallFleetBrokers is the number of brokers up to which a broker's own results by backend tell enough, and nothing
// in this package has any effect.
const SmallFleetBrokers = 4

// largeFleetWeight is 0 for small fleets and approaches 1 for large ones.
func largeFleetWeight(brokers int) float64 {
	return math.Max(0, 1-SmallFleetBrokers/math.Max(1, float64(brokers)))
}
