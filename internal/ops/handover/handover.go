// Package handover carries what one process of an aggregator sent to cold leafs over to the process that
// takes over from it, so that the new one need not wait a whole window of their allowance before it uses
// them, and the two together stay within the one share of the aggregator. It decides and encodes; it does
// no I/O and reads no clock: times are given, in ms, wall-clock ones as Unix time.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"ternstage/internal/decision/scheduler"
)

// Version is the form of the record that this build writes and reads.
const Version = 1

// MaxSends is how many sends a record holds at most; beyond, the record is refused and the new process waits
// out the window as after any start.
const MaxSends = 65536

// Record is what a process that hands over leaves for its successor.
type Record struct {
	Form        string                 `json:"form"`
	Version     int                    `json:"version"`
	Written     float64                `json:"written_unix_ms"` // when it handed over
	BrokerCount int                    `json:"peers,omitempty"` // of the settings it ran with; 0 is not known
	Sends       []scheduler.WarmupSend `json:"sent"`
	Sum         uint32                 `json:"sum"` // CRC-32 of the sends as JSON
}

const form = "ternstage cold sent"

// ErrRecord wraps what is wrong with a record.
var ErrRecord = errors.New("record of cold sends")

// Encode writes a record of a hand-over at written (Unix ms) by a process told of so many peers.
func Encode(written float64, peers int, sent []scheduler.WarmupSend) []byte {
	text, _ := json.Marshal(Record{Form: form, Version: Version, Written: written, BrokerCount: peers, Sends: sent,
		Sum: sum(sent)})
	return append(text, '\n')
}

// Decode reads a record; one that is torn, of another form or version, or whose sum does not agree is an
// error that wraps ErrRecord.
func Decode(text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, fmt.Errorf("%w: torn or not JSON: %w", ErrRecord, err)
	}
	switch {
	case r.Form != form:
		return Record{}, fmt.Errorf("%w: form %q, not %q", ErrRecord, r.Form, form)
	case r.Version != Version:
		return Record{}, fmt.Errorf("%w: version %d, this build reads %d", ErrRecord, r.Version, Version)
	case len(r.Sends) > MaxSends:
		return Record{}, fmt.Errorf("%w: field sent: %d, over %d", ErrRecord, len(r.Sends), MaxSends)
	case r.Sum != sum(r.Sends):
		return Record{}, fmt.Errorf("%w: field sum: %d, the sends sum to %d", ErrRecord, r.Sum, sum(r.Sends))
	}
	return r, nil
}

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
	if r.Written < started {
		return Ignore
	}
	if r.BrokerCount != 0 && peers != 0 && r.BrokerCount != peers {
		return DifferentFleet
	}
	if now-r.Written >= window {
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
	gone := max(0, now-r.Written)
	out := make([]scheduler.WarmupSend, 0, len(r.Sends))
	for _, s := range r.Sends {
		if s.AgeMs += gone; s.AgeMs <= window {
			out = append(out, s)
		}
	}
	return out
}

func sum(sent []scheduler.WarmupSend) uint32 {
	text, _ := json.Marshal(sent)
	return crc32.ChecksumIEEE(text)
}
