package fleetshare

import "math"

// SmallFleetBrokers is the largest number of brokers in a small fleet. There a broker sees enough of each backend in
// its own results, and nothing in this package has any effect.
const SmallFleetBrokers = 4

// largeFleetWeight returns 0 for small fleets and approaches 1 as the number of brokers grows.
func largeFleetWeight(brokerCount int) float64 {
	return math.Max(0, 1-SmallFleetBrokers/math.Max(1, float64(brokerCount)))
}
