package fleetshare

import "math"

const (
	// ownWorkShare is the fraction of the allowance that brokers get in proportion to the work served for them.
	ownWorkShare = 1.0
	// idleShare is the fraction of its even share that a broker gets without any served work.
	idleShare = 0.25
	// minHistoryMs is the shortest history with which the served work counts. With a shorter history the quota is the
	// even share.
	minHistoryMs = 1500.0
	// historyHalfLifeMs is the half-life of the history.
	historyHalfLifeMs = 20e3
	// historyStepMs is the shortest interval between two updates of the history.
	historyStepMs = 250.0
)

// SlowStartQuota decides how much of a warming backend's allowance this broker may use.
//
// All brokers together may send a warming backend its allowance: a multiple of a fraction c of the work that it does
// when warm. Each broker takes the same multiple of c of the work that the mean warm backend recently served for it.
// Summed over all brokers, this is all the work that the mean warm backend serves: its load u, at most 1. Therefore
//
//	sum of quotas <= (ownWorkShare*u + idleShare*0.7/cores) * allowance
//
// where the even shares of all brokers add up to 0.7 of the allowance of one core. The sum is within the allowance up
// to a load of 0.82, beyond which a fleet answers late, and never above 1.18 times the allowance.
//
// Quotas for served work do not depend on the number of brokers. Brokers that are down, or a broker whose settings
// give a wrong number of brokers, therefore change little. A broker with eight times the mean traffic has eight times
// the quota.
// In small fleets the quota is the even share.
type SlowStartQuota struct {
	weight        float64 // see largeFleetWeight
	updatedAt     float64 // ms; when the history was last updated; 0 before the first call of Advance
	pendingWorkMs float64 // work served by warm backends since updatedAt
	historyMs     float64 // length of the history, decayed
	servedMs      float64 // work that warm backends served for this broker in the history, decayed
	offeredMs     float64 // length of the history times the number of warm backends, decayed
}

// NewSlowStartQuota returns the quota of one broker in a fleet of brokerCount.
func NewSlowStartQuota(brokerCount int) SlowStartQuota {
	return SlowStartQuota{weight: largeFleetWeight(brokerCount)}
}

// RecordServed records work, in ms, that a warm backend has served for this broker.
func (q *SlowStartQuota) RecordServed(workMs float64) { q.pendingWorkMs += workMs }

// Advance updates the history to now, in ms. warmBackends returns the number of warm backends; it is called only when
// an update of the history is due. While no backend is warm, the history stays as it was.
func (q *SlowStartQuota) Advance(now float64, warmBackends func(now float64) int) {
	if q.updatedAt == 0 {
		q.updatedAt = now
	}
	elapsedMs := now - q.updatedAt
	if q.weight == 0 || elapsedMs < historyStepMs {
		return
	}
	decay := math.Exp2(-elapsedMs / historyHalfLifeMs)
	if count := float64(warmBackends(now)); count > 0 {
		q.historyMs = q.historyMs*decay + elapsedMs
		q.servedMs = q.servedMs*decay + q.pendingWorkMs
		q.offeredMs = q.offeredMs*decay + elapsedMs*count
	}
	q.updatedAt = now
	q.pendingWorkMs = 0
}

// QuotaMs returns this broker's quota, in ms of work. evenShareMs is its even share of the allowance. allowanceMs is
// the whole allowance of a backend that does one ms of work per ms when warm.
func (q *SlowStartQuota) QuotaMs(evenShareMs, allowanceMs float64) float64 {
	if q.historyMs < minHistoryMs {
		return evenShareMs
	}
	ownQuotaMs := math.Max(ownWorkShare*allowanceMs*q.servedMs/q.offeredMs, idleShare*evenShareMs)
	return (1-q.weight)*evenShareMs + q.weight*ownQuotaMs
}
