package scheduler

import (
	"math"
	"slices"

	"ternstage/internal/decision/fleetshare"
)

const (
	// usedAllowanceShare is the share of the slow-start allowance that is used; the rest covers errors of the estimate.
	usedAllowanceShare = 0.7
	// minUnroundedQuotaParts is the quota, in mean parts, below which it is rounded to whole parts.
	minUnroundedQuotaParts = 2.0
	// slotStride spreads the slots of successive replicas over the brokers; it is the golden ratio.
	slotStride = 0.618
	// maxReplicaSpeed is the ms of work per ms that one broker may believe a warm replica does.
	maxReplicaSpeed = 2.0
)

// warmupState is what a replica's slow start is judged by.
type warmupState struct {
	startedAt float64 // start of its process; 0 for long ago
	// sent is the work sent to it within the window of the allowance, oldest first but for what TakeOver adds.
	sent []workSample
}

// workSample is work in ms and the time when it was sent.
type workSample struct{ at, workMs float64 }

// record adds work that is sent now and forgets what is older than the window.
func (w *warmupState) record(now, windowMs, workMs float64) {
	hasExpired := func(sample workSample) bool { return sample.at < now-windowMs }
	w.sent = slices.DeleteFunc(w.sent, hasExpired)
	w.sent = append(w.sent, workSample{at: now, workMs: workMs})
}

// slowStart limits what warming replicas are sent. A replica that started lately has a fraction of its capacity,
// which grows linearly. All brokers together may send it a multiple of its present capacity within a window; each
// takes its quota of that.
type slowStart struct {
	settings SlowStartSettings
	quota    fleetshare.SlowStartQuota
	// replicaSpeed is the ms of work per ms that a warm replica was seen to do, 1 at least.
	replicaSpeed float64
	// startedAt is when discovery first answered or failed, or when another process last shared the quota; -Inf after
	// TakeOver. What was sent in the window before is not known here and still counts.
	startedAt float64
	// handedOver says that another process has taken over: warming replicas get nothing more from this one.
	handedOver bool
}

func newSlowStart(settings SlowStartSettings, brokers int) slowStart {
	return slowStart{
		settings:     settings,
		quota:        fleetshare.NewSlowStartQuota(brokers),
		replicaSpeed: 1,
	}
}

// isWarm reports whether a replica has its full capacity, as far as is known.
func (s *slowStart) isWarm(now float64, r *replica) bool {
	if s.settings.WorkMultiple*s.settings.Window <= 0 || r.warmup.startedAt <= 0 {
		return true
	}
	return now >= r.warmup.startedAt+s.settings.Duration+s.settings.Window
}

// allowanceMs is the work, in ms, that all brokers may send a warming replica within a window if it does one ms of
// work per ms when warm. The replica is taken to be as far in its warm-up as half
// a window ago.
func (s *slowStart) allowanceMs(now float64, r *replica) float64 {
	age := max(0, now-r.warmup.startedAt-s.settings.Window/2)
	initial := s.settings.InitialCapacity
	capacity := initial + (1-initial)*min(1, age/max(s.settings.Duration, 1))
	return s.settings.WorkMultiple * s.settings.Window * capacity
}

// observeReplicaSpeed learns how much work a warm replica does at once from a part that took no longer than the baseline.
func (s *slowStart) observeReplicaSpeed(replicaCost float64) {
	s.replicaSpeed = max(s.replicaSpeed, min(replicaCost, maxReplicaSpeed))
}

// countWarmReplicas is how many replicas are ready and not known to be warming up.
func (s *Scheduler) countWarmReplicas(now float64) int {
	count := 0
	for _, r := range s.replicas.ordered {
		if r.State == Ready && s.slowStart.isWarm(now, r) {
			count++
		}
	}
	return count
}

// warmingReplicaAvailableAt is when enough of the work sent to a warming replica has left the window for a part to
// fit into this broker's quota; +Inf if the part needs more than the quota.
func (s *Scheduler) warmingReplicaAvailableAt(now float64, r *replica, cost float64) float64 {
	remaining, needed := s.warmupQuotaMs(now, r, cost)
	window := s.slowStart.settings.Window
	sent := r.warmup.sent
	for i := len(sent) - 1; remaining >= needed; i-- {
		if i < 0 || sent[i].at < now-window {
			return now
		}
		remaining -= sent[i].workMs
		if remaining < needed {
			return sent[i].at + window + s.settings.TimerResolution
		}
	}
	return math.Inf(1)
}

// warmupQuotaMs is this broker's quota of a warming replica's allowance in any window, and what the part needs of
// it, both in ms of work. A small quota is rounded to whole parts: a slot that depends on the broker and the replica
// decides whether it is rounded up, so that the quotas of all brokers still add up to the allowance.
func (s *Scheduler) warmupQuotaMs(now float64, r *replica, cost float64) (quotaMs, neededMs float64) {
	allowance := s.slowStart.allowanceMs(now, r)
	brokers := float64(s.settings.BrokerCount)
	evenShare := usedAllowanceShare * s.slowStart.replicaSpeed * allowance / brokers
	quotaMs = s.slowStart.quota.QuotaMs(evenShare, allowance)
	neededMs = s.warmupWorkMs(cost)
	if quotaMs >= minUnroundedQuotaParts*s.warmupWorkMs(1) {
		return quotaMs, neededMs
	}
	neededMs = s.warmupWorkMs(1)
	slot := math.Mod(float64(s.settings.BrokerIndex)/brokers+float64(r.Replica)*slotStride, 1)
	quotaMs = math.Floor(quotaMs/neededMs+slot) * neededMs
	return quotaMs, neededMs
}
