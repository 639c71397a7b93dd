package scheduler

import "math"

// WarmupAttempt records an attempt that a process of a broker sent to a warming replica within the window of the
// slow-start allowance.
type WarmupAttempt struct {
	// Replica is the number of the replica.
	Replica uint32 `json:"replica"`
	// AgeMs is how long before the handover the attempt was sent, in ms.
	AgeMs float64 `json:"ago_ms"`
	// WorkMs is the work of the attempt in ms.
	WorkMs float64 `json:"work_ms"`
}

// HandOver stops this process from sending anything more to warming replicas. It returns what this process sent them
// within the window, for its successor in the same broker. Attempts in flight continue and warm replicas are used as
// before.
func (s *Scheduler) HandOver(now float64) []WarmupAttempt {
	s.slowStart.handedOver = true
	oldest := now - s.slowStart.settings.Window
	var attempts []WarmupAttempt
	for id, r := range s.replicas.byID {
		for _, sample := range r.warmup.sent {
			if sample.at >= oldest {
				attempts = append(attempts, WarmupAttempt{Replica: id, AgeMs: now - sample.at, WorkMs: sample.workMs})
			}
		}
	}
	return attempts
}

// OtherProcessActive reports that another process of the same broker serves at the same time and has not handed over.
// What it sends to warming replicas is unknown here but uses up the same quota. So this process sends them nothing
// until the other process has handed over, or until one window has passed since the last such report.
func (s *Scheduler) OtherProcessActive(now float64) { s.slowStart.sentWorkKnownSince = now }

// TakeOver counts what the predecessor sent to warming replicas as sent by this process. It also ends the wait of one
// window that follows a start, as the predecessor sends them nothing more. Invalid attempts and those at unknown
// replicas are ignored.
func (s *Scheduler) TakeOver(now float64, attempts []WarmupAttempt) {
	for _, sent := range attempts {
		r := s.replicas.byID[sent.Replica]
		isValid := sent.AgeMs >= 0 && sent.AgeMs <= s.slowStart.settings.Window && sent.WorkMs >= 0
		if r != nil && isValid {
			r.warmup.sent = append(r.warmup.sent, workSample{at: now - sent.AgeMs, workMs: sent.WorkMs})
		}
	}
	s.slowStart.sentWorkKnownSince = math.Inf(-1)
}
