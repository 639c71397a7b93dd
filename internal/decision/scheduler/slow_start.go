package scheduler

import (
	"math"
	"slices"

	"ternstage/internal/decision/fleetshare"
)

const (
	// usedAllowanceShare is the share of the slow-start allowance that all brokers together use. The rest covers
	// errors of the work estimate.
	usedAllowanceShare = 0.7
	// minUnroundedQuotaParts is the quota, in mean parts, below which quotas are rounded to whole parts.
	minUnroundedQuotaParts = 2.0
	// slotStride is the distance between the slots of successive replicas (see warmupQuotaMs), which distributes them
	// among the brokers. It is the fractional part of the golden ratio.
	slotStride = 0.618
	// maxReplicaSpeed is the highest estimate of a warm replica's speed, in ms of work per ms.
	maxReplicaSpeed = 2.0
)

// warmupState is the state of a replica's slow start.
type warmupState struct {
	startedAt float64 // start of the replica's process; 0 for long ago
	// sent is the work sent to the replica within the window of the allowance, oldest first except for the work that
	// TakeOver adds.
	sent []workSample
}

// workSample is an amount of work, in ms, and the time when it was sent.
type workSample struct{ at, workMs float64 }

// record adds work that is sent now and deletes samples that are older than the window.
func (w *warmupState) record(now, windowMs, workMs float64) {
	hasExpired := func(sample workSample) bool { return sample.at < now-windowMs }
	w.sent = slices.DeleteFunc(w.sent, hasExpired)
	w.sent = append(w.sent, workSample{at: now, workMs: workMs})
}

// slowStart limits the work that is sent to replicas that are warming up. A replica that started lately has a
// fraction of its full capacity, which grows linearly. Its allowance is the work that all brokers together may send
// it within a window: a multiple of its present capacity. Each broker uses its quota of the allowance.
type slowStart struct {
	settings SlowStartSettings
	quota    fleetshare.SlowStartQuota
	// replicaSpeed is the highest observed speed of a warm replica, in ms of work per ms; at least 1.
	replicaSpeed float64
	// sentWorkKnownSince is when discovery first answered or failed, or when another process last shared the quota;
	// -Inf after TakeOver. Work sent in the window before this time is unknown here but counts toward the allowance,
	// so warming replicas are sent nothing in the window after this time.
	sentWorkKnownSince float64
	// handedOver is set once another process has taken over. Warming replicas are then sent nothing by this one.
	handedOver bool
}

func newSlowStart(settings SlowStartSettings, brokers int) slowStart {
	return slowStart{
		settings:     settings,
		quota:        fleetshare.NewSlowStartQuota(brokers),
		replicaSpeed: 1,
	}
}

// isWarm reports whether a replica is not known to be warming up. All replicas are warm if slow start is off.
func (s *slowStart) isWarm(now float64, r *replica) bool {
	if s.settings.WorkMultiple*s.settings.Window <= 0 || r.warmup.startedAt <= 0 {
		return true
	}
	return now >= r.warmup.startedAt+s.settings.Duration+s.settings.Window
}

// allowanceMs returns the work, in ms, that all brokers together may send a warming replica within a window if its
// speed is 1 when warm. It uses the replica's capacity of half a window ago.
func (s *slowStart) allowanceMs(now float64, r *replica) float64 {
	age := max(0, now-r.warmup.startedAt-s.settings.Window/2)
	initial := s.settings.InitialCapacity
	capacity := initial + (1-initial)*min(1, age/max(s.settings.Duration, 1))
	return s.settings.WorkMultiple * s.settings.Window * capacity
}

// observeReplicaSpeed raises the speed estimate to replicaCost, up to maxReplicaSpeed. The caller passes the cost
// that a replica had in flight when it served a part faster than the baseline.
func (s *slowStart) observeReplicaSpeed(replicaCost float64) {
	s.replicaSpeed = max(s.replicaSpeed, min(replicaCost, maxReplicaSpeed))
}

// countWarmReplicas returns the number of replicas that are ready and not known to be warming up.
func (s *Scheduler) countWarmReplicas(now float64) int {
	count := 0
	for _, r := range s.replicas.ordered {
		if r.State == Ready && s.slowStart.isWarm(now, r) {
			count++
		}
	}
	return count
}

// warmingReplicaAvailableAt returns when enough of the work sent to a warming replica has left the window for a part
// of the given cost to fit into this broker's quota. It returns +Inf if the part needs more than the whole quota.
func (s *Scheduler) warmingReplicaAvailableAt(now float64, r *replica, cost float64) float64 {
	remainingMs, neededMs := s.warmupQuotaMs(now, r, cost)
	window := s.slowStart.settings.Window
	sent := r.warmup.sent
	for i := len(sent) - 1; remainingMs >= neededMs; i-- {
		if i < 0 || sent[i].at < now-window {
			return now
		}
		remainingMs -= sent[i].workMs
		if remainingMs < neededMs {
			return sent[i].at + window + s.settings.TimerResolution
		}
	}
	return math.Inf(1)
}

// warmupQuotaMs returns this broker's quota of a warming replica's allowance in any window, and how much of it a part
// needs, both in ms of work. A small quota is rounded to whole mean parts, and a part of any cost then needs one of
// them. Whether the quota is rounded up depends on a slot that follows from the broker and the replica, so that the
// quotas of all brokers still add up to the allowance.
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
