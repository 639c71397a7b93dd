package handover

import "ternstage/internal/decision/scheduler"

// Decision says what a process does with a record that it has read.
type Decision uint8

const (
	// Ignore discards a record that was written before this process started. The record is from an earlier handover,
	// and the process that still serves beside this one keeps sending to warming backends.
	Ignore Decision = iota
	// DifferentFleet discards a record of a process whose settings name another number of brokers, as that process
	// had another quota.
	DifferentFleet
	// Wait keeps the record for a later decision: it names backends that this process does not know yet.
	Wait
	// Apply counts the attempts of the record as this process's own.
	Apply
)

// Successor describes the process that reads a record.
type Successor struct {
	// StartedUnixMs is when the process started, in milliseconds of Unix time.
	StartedUnixMs float64
	// WindowMs is the length of the slow-start window, in milliseconds. Older attempts do not count.
	WindowMs float64
	// BrokerCount is the number of brokers in the settings; 0 means unknown and matches any number.
	BrokerCount int
	// Known reports whether the process knows the backend with this replica number.
	Known func(replica uint32) bool
}

// Decide returns what to do with record at nowUnixMs. It returns Wait for at most one window after the record was
// written. After that none of its attempts counts any more, so it returns Apply whether or not all backends are
// known.
func (s *Successor) Decide(record *Record, nowUnixMs float64) Decision {
	switch {
	case record.WrittenUnixMs < s.StartedUnixMs:
		return Ignore
	case record.BrokerCount != 0 && s.BrokerCount != 0 && record.BrokerCount != s.BrokerCount:
		return DifferentFleet
	case nowUnixMs-record.WrittenUnixMs >= s.WindowMs:
		return Apply
	case !s.knowsBackends(record.Attempts):
		return Wait
	}
	return Apply
}

func (s *Successor) knowsBackends(attempts []scheduler.WarmupAttempt) bool {
	for _, attempt := range attempts {
		if !s.Known(attempt.Replica) {
			return false
		}
	}
	return true
}

// AgeAttempts returns the attempts of record with their ages as of nowUnixMs, without those older than windowMs. If
// the wall clock was set back to before WrittenUnixMs, the ages stay as they are.
func AgeAttempts(record *Record, nowUnixMs, windowMs float64) []scheduler.WarmupAttempt {
	elapsedMs := max(0, nowUnixMs-record.WrittenUnixMs)
	aged := make([]scheduler.WarmupAttempt, 0, len(record.Attempts))
	for _, attempt := range record.Attempts {
		attempt.AgeMs += elapsedMs
		if attempt.AgeMs <= windowMs {
			aged = append(aged, attempt)
		}
	}
	return aged
}
