package scheduler

import "math"

// ejectionZoneLatency is the multiple of the best zone's latency from which all replicas of a zone are outliers.
const ejectionZoneLatency = 2.0

// zoneLatencies distinguishes a slow network path to a zone from slow replicas. If the path is slow, all replicas of
// the zone are slow for this broker, which the zone's median shows sooner than the averages of single replicas.
type zoneLatencies struct {
	// excessByZone is the median of the normalized latency minus 1, by zone.
	excessByZone map[int]decayingAverage
	// bestLatency is the normalized latency of the best zone.
	bestLatency float64
}

func newZoneLatencies() zoneLatencies {
	return zoneLatencies{excessByZone: map[int]decayingAverage{}, bestLatency: 1}
}

// latency returns the median normalized latency of a zone.
func (z *zoneLatencies) latency(now float64, zone int) float64 {
	return 1 + z.excessByZone[zone].valueAt(now, estimateHalfLifeMaxMs)
}

// observe moves the median of a zone one step with the normalized latency of an attempt: down if it is below the
// median, otherwise up. A slow replica counts once until it answers at the zone's median, because the late answers of
// one stalled replica say nothing about the other replicas there.
func (z *zoneLatencies) observe(now float64, r *replica, normalized float64) {
	median := z.latency(now, r.Zone)
	if r.outliers.isCountedAsSlow && normalized > median {
		return
	}
	r.outliers.isCountedAsSlow = normalized > ejectionZoneLatency*median
	moved := median * (1 + math.Copysign(medianStep, normalized-median))
	z.excessByZone[r.Zone] = decayingAverage{at: now, value: max(0, moved-1)}
	z.bestLatency = math.Inf(1)
	for zone := range z.excessByZone {
		z.bestLatency = min(z.bestLatency, z.latency(now, zone))
	}
}
