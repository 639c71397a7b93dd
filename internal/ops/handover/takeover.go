package handover

import "ternstage/internal/decision/scheduler"

// Decision is what a process does with a record it has read.
type Decision uint8

// The verdicts.
const (
	Ignore         Decision = iota // not of the process it takes over from: written before this one started
	DifferentFleet                 // that process was told of another number of peers: its shares were others
	Wait                           // of it, but it names leafs that this process does not know yet
	Apply                          // take it now
)

// Decide decides on a record, read at now (Unix ms) by a process that started at started (Unix ms), whose
// cold allowance has a window of window ms. A record written before the start is an earlier hand-over, whose
// writer is gone while the one that serves beside this process still sends. One of a process with another
// number of peers is not taken: the settings have changed. One that names leafs not yet known is waited for,
// until what it says of them is older than the window and so no longer counts.
func Decide(r Record, now, started, window float64, peers int, known func(replica uint32) bool) Decision {
	if r.WrittenUnixMs < started {
		return Ignore
	}
	if r.BrokerCount != 0 && peers != 0 && r.BrokerCount != peers {
		return DifferentFleet
	}
	if now-r.WrittenUnixMs >= window {
		return Apply
	}
	for _, s := range r.Sends {
		if !known(s.Replica) {
			return Wait
		}
	}
	return Apply
}

// AgeSends gives the sends as of now (Unix ms): each is older by the time since the record was written, and
// those older than the window are dropped.
func AgeSends(r Record, now, window float64) []scheduler.WarmupSend {
	gone := max(0, now-r.WrittenUnixMs)
	out := make([]scheduler.WarmupSend, 0, len(r.Sends))
	for _, s := range r.Sends {
		if s.AgeMs += gone; s.AgeMs <= window {
			out = append(out, s)
		}
	}
	return out
}
