package scheduler

import (
	"cmp"
	"math"
	"slices"
)

const (
	// baselineQuantile is the quantile of the latency per unit of cost that serves as the baseline. It is low so that
	// queueing hardly moves it.
	baselineQuantile = 0.35
	// baselineStep is the largest fraction by which one sample moves the baseline.
	baselineStep = 0.01
	// baselineSamples is the number of samples kept after a start. Until then the baseline is their exact quantile,
	// as the parts of a query with many parts return in order of latency, which would bias a step estimate.
	baselineSamples = 64
	// baselineFloorGain is the weight of the newest baseline in the floor while the baseline is above the floor.
	baselineFloorGain = 5e-4

	meanGain           = 0.03 // weight of the newest sample in slow means
	replicaLatencyGain = 0.35 // weight of the newest latency of a replica; two or three samples suffice
	medianStep         = 0.05 // fraction by which one latency moves a median; 15 higher latencies in a row double it
	// overloadMedianParts is the number of parts per query that may move the overload median by a full step. Each
	// part of a larger query moves it less, as the parts of such a query return in order of latency.
	overloadMedianParts = 8.0

	// estimateHalfLifeMinMs is the half-life of a replica's estimates under high traffic. With less traffic it grows
	// up to estimateHalfLifeMaxMs; otherwise an estimate would decay before the next sample.
	estimateHalfLifeMinMs = 1500
	estimateHalfLifeMaxMs = 8000

	// queueingObjectiveShare is the share of the shortest latency objective that a mean call may take before its
	// replica counts as queueing.
	queueingObjectiveShare = 0.33
	// queueingLatencyMin and queueingLatencyMax bound that threshold, in normalized latency. A lower threshold would
	// queue parts because of random variation; above the upper one a replica is queueing whatever the objective.
	queueingLatencyMin = 1.6
	queueingLatencyMax = 5.0
)

// latencyEstimator estimates the normal latency and compares the latencies of the fleet with it. The baseline is in
// ms per unit of cost. The medians are normalized latencies and at least 1.
type latencyEstimator struct {
	baseline      float64 // ms per unit of cost; 0 before the first sample
	baselineFloor float64 // minimum of the baseline, which rises slowly and excludes queueing
	firstSamples  []float64

	fleetMedian     float64 // median normalized latency of all successful attempts
	overloadMedian  float64 // the same median, moved less by queries with many parts; it indicates overload
	queueingLatency float64 // normalized latency above which a replica counts as queueing

	meanPartBaselineMs float64 // mean baseline latency of a part in its call, without the effect of the present load
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

// recordResult updates the mean time between results.
func (l *latencyEstimator) recordResult(now float64) {
	interval := now - max(l.lastResultAt, now-estimateHalfLifeMaxMs)
	l.resultIntervalMs += (interval - l.resultIntervalMs) * meanGain
	l.lastResultAt = now
}

// observeBaseline updates the baseline and its floor with a latency per unit of cost.
func (l *latencyEstimator) observeBaseline(perCost float64) {
	l.baseline = l.nextBaseline(perCost)
	l.baselineFloor += (l.baseline - l.baselineFloor) * baselineFloorGain
	if l.baseline < l.baselineFloor || len(l.firstSamples) < baselineSamples {
		l.baselineFloor = l.baseline // a floor from the first few samples may be far too low
	}
}

// nextBaseline returns the baseline after one more sample.
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

// observeCall updates the mean baseline latencies of parts and calls with the costs of an attempt and of its whole
// call, and derives the latency above which replicas count as queueing.
func (l *latencyEstimator) observeCall(attemptCost, callCost float64) {
	call := l.baseline * callCost
	l.meanPartBaselineMs += (l.baseline*attemptCost - l.meanPartBaselineMs) * meanGain
	l.meanCallBaselineMs = (1-meanGain)*cmp.Or(l.meanCallBaselineMs, call) + meanGain*call
	threshold := queueingObjectiveShare * l.minObjectiveMs / l.meanCallBaselineMs
	l.queueingLatency = min(max(threshold, queueingLatencyMin), queueingLatencyMax)
}

// observeFleet moves the medians of the fleet one step toward a latency per unit of cost. queryParts is the number of
// parts of the attempt's query.
func (l *latencyEstimator) observeFleet(perCost float64, queryParts int) {
	l.fleetMedian = stepMedian(l.fleetMedian, perCost-l.fleetMedian*l.baseline, medianStep)
	step := medianStep * min(1, overloadMedianParts/float64(queryParts+1))
	l.overloadMedian = stepMedian(l.overloadMedian, perCost-l.overloadMedian*l.baseline, step)
}

// medianPartMs returns the median latency of a part under the present load, in ms.
func (l *latencyEstimator) medianPartMs() float64 { return l.overloadMedian * l.meanPartBaselineMs }

// decayedEstimate returns the present value of a replica's excess latency or failure rate. Without new samples the
// estimate halves in the time in which as many results arrive as there are replicas, so that a broker with little
// traffic keeps it until the next sample.
func (s *Scheduler) decayedEstimate(average decayingAverage, now float64) float64 {
	halfLife := s.latency.resultIntervalMs * float64(len(s.replicas.ordered))
	return average.valueAt(now, min(max(estimateHalfLifeMinMs, halfLife), estimateHalfLifeMaxMs))
}

// observeReplicaLatency updates a replica's average with a normalized latency.
func (s *Scheduler) observeReplicaLatency(now float64, r *replica, normalized float64) {
	before := s.decayedEstimate(r.excessNormalizedLatency, now)
	after := max(0, before+replicaLatencyGain*(normalized-1-before))
	r.excessNormalizedLatency = decayingAverage{at: now, value: after}
}

// normalizedLatency returns the normalized latency of a replica: its recent average or, if higher, the age of its
// oldest attempt in flight that has not been overtaken, divided by that attempt's expected latency.
func (s *Scheduler) normalizedLatency(now float64, r *replica) float64 {
	latency := 1 + s.decayedEstimate(r.excessNormalizedLatency, now)
	for _, a := range r.inFlight {
		if a.overtaken {
			continue
		}
		return max(latency, (now-a.sentAt)/s.expectedLatencyMs(a))
	}
	return latency
}

// stepMedian moves a median by a fraction of itself: down if the sample is below it, otherwise up. The result is at
// least 1.
func stepMedian(median, sampleMinusMedian, fraction float64) float64 {
	return max(1, median*(1+math.Copysign(fraction, sampleMinusMedian)))
}
