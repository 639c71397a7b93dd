package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// baselineQuantile is the quantile of latency called the baseline. It is low, so that queueing moves it little.
	baselineQuantile = 0.35
	// baselineStep is the fraction by which one sample moves the baseline at most.
	baselineStep = 0.01
	// baselineSamples is how many samples are kept after a start; the baseline is their own quantile at first, as
	// the parts of a long query come back sorted by latency.
	baselineSamples = 64
	// baselineFloorGain is the weight of the newest baseline in the floor while it is above the floor.
	baselineFloorGain = 5e-4

	meanGain           = 0.03 // weight of the newest sample in slow means
	replicaLatencyGain = 0.35 // weight of the newest latency of a replica: two or three samples suffice
	medianStep         = 0.05 // fraction by which one latency moves a median; it doubles in 15 samples
	// overloadMedianParts is how many parts of one query may move the overload median, as those of a long query come back
	// sorted.
	overloadMedianParts = 8.0

	// estimateHalfLifeMinMs is the half-life of an observed decayedEstimate with much traffic. With little it grows up to
	// estimateHalfLifeMaxMs, or it would be gone before the next sample.
	estimateHalfLifeMinMs = 1500
	estimateHalfLifeMaxMs = 8000

	// queueingObjectiveShare is the share of the shortest latency objective that a normal call may take before its
	// replica counts as queueing.
	queueingObjectiveShare = 0.33
	// queueingLatencyMin and queueingLatencyMax bound that level in normalized latency. Below the first, chance alone
	// would hold parts back; above the second it is a queue whatever the objective.
	queueingLatencyMin = 1.6
	queueingLatencyMax = 5.0
)

// latencyEstimator learns what latencies are normal and how those of the fleet compare with it. The baseline is per
// unit of cost; levels are normalized latencies, 1 at least.
type latencyEstimator struct {
	baseline      float64 // ms per unit of cost; 0 before the first sample
	baselineFloor float64 // slowly rising minimum of the baseline, free of queueing
	firstSamples  []float64

	fleetMedian     float64 // median over all results
	overloadMedian  float64 // the same, moved less by long queries: it shows overload
	queueingLatency float64 // from which a replica counts as queueing

	meanPartBaselineMs float64 // mean baseline latency of a part in its call, free of the present load
	meanCallBaselineMs float64 // mean baseline latency of a call

	lastResultAt     float64
	resultIntervalMs float64 // mean time between results

	minObjectiveMs float64 // shortest latency objective of all classes
}

func newLatencyEstimator(minObjectiveMs float64) latencyEstimator {
	return latencyEstimator{
		fleetMedian:     1,
		overloadMedian:  1,
		queueingLatency: queueingLatencyMin,
		minObjectiveMs:  minObjectiveMs,
	}
}

// recordResult records that a result came in, for the mean time between them.
func (l *latencyEstimator) recordResult(now float64) {
	interval := now - max(l.lastResultAt, now-estimateHalfLifeMaxMs)
	l.resultIntervalMs += (interval - l.resultIntervalMs) * meanGain
	l.lastResultAt = now
}

// observeBaseline takes a latency per unit of cost into the baseline and its floor.
func (l *latencyEstimator) observeBaseline(perCost float64) {
	l.baseline = l.nextBaseline(perCost)
	l.baselineFloor += (l.baseline - l.baselineFloor) * baselineFloorGain
	if l.baseline < l.baselineFloor || len(l.firstSamples) < baselineSamples {
		l.baselineFloor = l.baseline // the floor of the first few samples may be far too low
	}
}

// nextBaseline is the baseline quantile with one more sample.
func (l *latencyEstimator) nextBaseline(perCost float64) float64 {
	if len(l.firstSamples) < baselineSamples {
		i, _ := slices.BinarySearch(l.firstSamples, perCost)
		l.firstSamples = slices.Insert(l.firstSamples, i, perCost)
		return l.firstSamples[int(baselineQuantile*float64(len(l.firstSamples)))]
	}
	if perCost > l.baseline {
		return l.baseline * (1 + baselineQuantile*baselineStep)
	}
	return l.baseline * (1 - (1-baselineQuantile)*baselineStep)
}

// observeCall takes the costs of an attempt and of its whole call into the mean latencies of parts and calls, and
// derives the level from which replicas count as queueing.
func (l *latencyEstimator) observeCall(attemptCost, callCost float64) {
	call := l.baseline * callCost
	l.meanPartBaselineMs += (l.baseline*attemptCost - l.meanPartBaselineMs) * meanGain
	l.meanCallBaselineMs = (1-meanGain)*cmp.Or(l.meanCallBaselineMs, call) + meanGain*call
	level := queueingObjectiveShare * l.minObjectiveMs / l.meanCallBaselineMs
	l.queueingLatency = min(max(level, queueingLatencyMin), queueingLatencyMax)
}

// observeFleet moves the medians of the fleet toward a latency per unit of cost of a query with so many parts.
func (l *latencyEstimator) observeFleet(perCost float64, queryParts int) {
	l.fleetMedian = stepMedian(l.fleetMedian, perCost-l.fleetMedian*l.baseline, medianStep)
	step := medianStep * min(1, overloadMedianParts/float64(queryParts+1))
	l.overloadMedian = stepMedian(l.overloadMedian, perCost-l.overloadMedian*l.baseline, step)
}

// medianPartMs is the median latency of a part under the present load, in ms.
func (l *latencyEstimator) medianPartMs() float64 { return l.overloadMedian * l.meanPartBaselineMs }

// decayedEstimate is what is left of an observed decayedEstimate of a replica. Without news it halves in the time in which as many
// results come in as there are replicas, so that a broker with little traffic does not forget before the next sample.
func (s *Scheduler) decayedEstimate(average decayingAverage, now float64) float64 {
	halfLife := s.latency.resultIntervalMs * float64(len(s.replicas.ordered))
	return average.valueAt(now, min(max(estimateHalfLifeMinMs, halfLife), estimateHalfLifeMaxMs))
}

// observeReplicaLatency takes a normalized latency into a replica's average.
func (s *Scheduler) observeReplicaLatency(now float64, r *replica, normalized float64) {
	before := s.decayedEstimate(r.excessNormalizedLatency, now)
	after := max(0, before+replicaLatencyGain*(normalized-1-before))
	r.excessNormalizedLatency = decayingAverage{at: now, value: after}
}

// normalizedLatency is a replica's latency by the baseline: the recent average or, if that is more, the age of its
// oldest attempt in flight that no later one has overtaken.
func (s *Scheduler) normalizedLatency(now float64, r *replica) float64 {
	level := 1 + s.decayedEstimate(r.excessNormalizedLatency, now)
	for _, a := range r.inFlight {
		if a.overtaken {
			continue
		}
		return max(level, (now-a.sentAt)/s.expectedLatencyMs(a))
	}
	return level
}

// stepMedian moves a median: up by a fraction of itself if the sample is not below it, else down, and not below 1.
func stepMedian(median, sampleMinusMedian, fraction float64) float64 {
	return max(1, median*(1+math.Copysign(fraction, sampleMinusMedian)))
}
