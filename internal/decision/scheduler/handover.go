package scheduler

import "math"

// WarmupAttempt is work that one process of a broker sent to a warming replica within the window of its slow-start
// slow-start allowance.
type WarmupAttempt struct {
	// Replica is the number of the replica.
	Replica uint32 `json:"replica"`
	// AgeMs is how long before the handover the work was sent, in ms.
	AgeMs float64 `json:"ago_ms"`
	// WorkMs is the work in ms.
	WorkMs float64 `json:"work_ms"`
}

// HandOver ends what this process sends to warming replicas and returns what it sent them within the window, for the
// process that takes over the same broker. Attempts in flight stay; warm replicas are used as before.
func (s *Scheduler) HandOver(now float64) []WarmupAttempt {
	s.slowStart.handedOver = true
	oldest := now - s.slowStart.settings.Window
	var sends []WarmupAttempt
	for id, r := range s.replicas.byID {
		for _, sample := range r.warmup.sent {
			if sample.at >= oldest {
				sends = append(sends, WarmupAttempt{Replica: id, AgeMs: now - sample.at, WorkMs: sample.workMs})
			}
		}
	}
	return sends
}

// OtherProcessActive reports that another process of the same broker serves beside this one and has not handed over.
// What it sends to warming replicas is not known here and counts all the same, so this process sends them nothing
// until the other has handed over, or until a window after the last such report.
func (s *Scheduler) OtherProcessActive(now float64) { s.slowStart.startedAt = now }

// TakeOver counts what the process that hands over sent to warming replicas as sent by this one, and ends the wait
// of the first window after a start, as that process sends them nothing more. Sends to replicas that are not known
// here are dropped.
func (s *Scheduler) TakeOver(now float64, sends []WarmupAttempt) {
	for _, send := range sends {
		r := s.replicas.byID[send.Replica]
		isValid := send.AgeMs >= 0 && send.AgeMs <= s.slowStart.settings.Window && send.WorkMs >= 0
		if r != nil && isValid {
			r.warmup.sent = append(r.warmup.sent, workSample{at: now - send.AgeMs, workMs: send.WorkMs})
		}
	}
	s.slowStart.startedAt = math.Inf(-1)
}
