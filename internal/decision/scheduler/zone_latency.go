package scheduler

import "math"

// ejectionZoneLatency is how many times the best zone's latency makes the replicas of a zone outliers.
const ejectionZoneLatency = 2.0

// zoneLatencies tell a slow network path to a zone from slow replicas there: all replicas of the zone are slow from
// here, which shows sooner than replica by replica.
type zoneLatencies struct {
	// excess is, by zone, the median normalized latency above 1.
	excessByZone map[int]decayingAverage
	// best is the normalized latency of the best zone.
	bestLatency float64
}

func newZoneLatencies() zoneLatencies {
	return zoneLatencies{excessByZone: map[int]decayingAverage{}, bestLatency: 1}
}

// latency is the normalized latency of what comes from a zone.
func (z *zoneLatencies) latency(now float64, zone int) float64 {
	return 1 + z.excessByZone[zone].valueAt(now, estimateHalfLifeMaxMs)
}

// observe takes the normalized latency of an attempt at a replica; one that is not below the zone's level raises it.
// A slow replica counts once until it answers at
// its zone's level, as late answers out of one stalled replica say nothing of the others there.
func (z *zoneLatencies) observe(now float64, r *replica, normalized float64) {
	level := z.latency(now, r.Zone)
	if r.outliers.isCountedAsSlow && normalized > level {
		return
	}
	r.outliers.isCountedAsSlow = normalized > ejectionZoneLatency*level
	moved := level * (1 + math.Copysign(medianStep, normalized-level))
	z.excessByZone[r.Zone] = decayingAverage{at: now, value: max(0, moved-1)}
	z.bestLatency = math.Inf(1)
	for zone := range z.excessByZone {
		z.bestLatency = min(z.bestLatency, z.latency(now, zone))
	}
}
