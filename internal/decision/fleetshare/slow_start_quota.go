package fleetshare

import "math"

const (
	// ownWorkShare is the share of a warming backend's allowance for the work that this broker had served.
	ownWorkShare = 1.0
	// idleShare is the part of its even share that a broker without served work may use.
	idleShare = 0.25
	// minHistoryMs is the history from which own served work counts.
	minHistoryMs = 1500.0
	// historyHalfLifeMs is the half-life of that history.
	historyHalfLifeMs = 20e3
	// historyStepMs is the interval at which the history is updated.
	historyStepMs = 250.0
)

// SlowStartQuota decides how much of a warming backend's allowance is this broker's.
//
// All brokers together may send a warming backend its allowance: a multiple of a fraction c of what it does when
// warm. Each takes the same multiple of c of what it had served itself by the mean warm backend of late. The sum over
// all brokers of what each had served there is what that backend serves for somebody: its load u, at most 1. So
//
//	sum of quotas <= (ownWorkShare*u + idleShare*0.7/cores) * allowance
//
// where 0.7 of one core's allowance is what even shares add up to. That is within the allowance up to a load of 0.82,
// beyond which a fleet answers late, and never over 1.18 of it.
//
// The number of brokers does not enter, so a broker that is wrong about it, or brokers that are down, change little,
// and a broker with eight times the mean traffic has eight times the quota. In small fleets the quota is the even
// share.
type SlowStartQuota struct {
	weight        float64 // see largeFleetWeight
	updatedAt     float64
	pendingWorkMs float64 // served by warm backends since then
	historyMs     float64 // decayed
	servedMs      float64 // decayed: work served
	offeredMs     float64 // decayed: ms times warm backends in which it was served
}

// NewSlowStartQuota makes the quotas of one of so many brokers.
func NewSlowStartQuota(brokers int) SlowStartQuota {
	return SlowStartQuota{weight: largeFleetWeight(brokers)}
}

// RecordServed records work, in ms, that a warm backend has done for this broker.
func (q *SlowStartQuota) RecordServed(workMs float64) { q.pendingWorkMs += workMs }

// Advance updates the history to now. warmBackends counts the warm backends; it is called only when the history is
// due for an update. While none is warm the history stays as it was.
func (q *SlowStartQuota) Advance(now float64, warmBackends func(now float64) int) {
	if q.updatedAt == 0 {
		q.updatedAt = now
	}
	elapsed := now - q.updatedAt
	if q.weight == 0 || elapsed < historyStepMs {
		return
	}
	decay := math.Exp2(-elapsed / historyHalfLifeMs)
	if count := float64(warmBackends(now)); count > 0 {
		q.historyMs = q.historyMs*decay + elapsed
		q.servedMs = q.servedMs*decay + q.pendingWorkMs
		q.offeredMs = q.offeredMs*decay + elapsed*count
	}
	q.updatedAt = now
	q.pendingWorkMs = 0
}

// QuotaMs is this broker's quota, in ms of work. evenShareMs is its even share of the allowance, allowanceMs the
// whole allowance of a backend that does one ms of work per ms when warm.
func (q *SlowStartQuota) QuotaMs(evenShareMs, allowanceMs float64) float64 {
	if q.historyMs < minHistoryMs {
		return evenShareMs
	}
	own := math.Max(ownWorkShare*allowanceMs*q.servedMs/q.offeredMs, idleShare*evenShareMs)
	return (1-q.weight)*evenShareMs + q.weight*own
}
