package handover

import "ternstage/internal/decision/scheduler"

// Decision is what a process does with a record that it has read.
type Decision uint8

const (
	// Ignore drops a record that was written before this process started: it is of an earlier handover, and the process
	// that serves beside this one still sends.
	Ignore Decision = iota
	// DifferentFleet drops a record of a process whose settings name another number of brokers: its quota was another.
	DifferentFleet
	// Wait keeps a record that names backends which this process does not know yet.
	Wait
	// Apply counts the sends of the record as this process's own.
	Apply
)

// Successor is the process that reads a record.
type Successor struct {
	// StartedUnixMs is when the process started, in milliseconds of Unix time.
	StartedUnixMs float64
	// WindowMs is the length of the slow-start window in milliseconds. Older sends do not count.
	WindowMs float64
	// BrokerCount is the number of brokers in the settings; 0 is unknown and matches any.
	BrokerCount int
	// Known reports whether the process knows the backend with this replica number.
	Known func(replica uint32) bool
}

// Decide returns what to do with record at nowUnixMs. It answers Wait for a window at most: after that nothing in the
// record counts any more, and it is applied.
func (s *Successor) Decide(record *Record, nowUnixMs float64) Decision {
	switch {
	case record.WrittenUnixMs < s.StartedUnixMs:
		return Ignore
	case record.BrokerCount != 0 && s.BrokerCount != 0 && record.BrokerCount != s.BrokerCount:
		return DifferentFleet
	case nowUnixMs-record.WrittenUnixMs >= s.WindowMs:
		return Apply
	case !s.knowsAll(record.Sends):
		return Wait
	}
	return Apply
}

func (s *Successor) knowsAll(sends []scheduler.WarmupSend) bool {
	for _, send := range sends {
		if !s.Known(send.Replica) {
			return false
		}
	}
	return true
}

// AgeSends returns the sends of record with their ages as of nowUnixMs, without those older than windowMs. A wall
// clock that was set back ages nothing.
func AgeSends(record *Record, nowUnixMs, windowMs float64) []scheduler.WarmupSend {
	elapsedMs := max(0, nowUnixMs-record.WrittenUnixMs)
	aged := make([]scheduler.WarmupSend, 0, len(record.Sends))
	for _, send := range record.Sends {
		send.AgeMs += elapsedMs
		if send.AgeMs <= windowMs {
			aged = append(aged, send)
		}
	}
	return aged
}
