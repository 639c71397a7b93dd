package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"ternstage/internal/decision/scheduler"
)

// RecordVersion is the form of the record that this build writes and reads.
const RecordVersion = 1

// MaxSends is how many sends a record holds at most; beyond, the record is refused and the new process waits
// out the window as after any start.
const MaxSends = 65536

// Record is what a process that hands over leaves for its successor.
type Record struct {
	Form          string                 `json:"form"`
	Version       int                    `json:"version"`
	WrittenUnixMs float64                `json:"written_unix_ms"` // when it handed over
	BrokerCount   int                    `json:"peers,omitempty"` // of the settings it ran with; 0 is not known
	Sends         []scheduler.WarmupSend `json:"sent"`
	Checksum      uint32                 `json:"sum"` // CRC-32 of the sends as JSON
}

const recordForm = "ternstage cold sent"

// ErrRecord wraps what is wrong with a record.
var ErrRecord = errors.New("record of cold sends")

// Encode writes a record of a hand-over at written (Unix ms) by a process told of so many peers.
func Encode(written float64, peers int, sent []scheduler.WarmupSend) []byte {
	text, _ := json.Marshal(Record{Form: recordForm, Version: RecordVersion, WrittenUnixMs: written, BrokerCount: peers, Sends: sent,
		Checksum: sendsChecksum(sent)})
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
	case r.Form != recordForm:
		return Record{}, fmt.Errorf("%w: form %q, not %q", ErrRecord, r.Form, recordForm)
	case r.Version != RecordVersion:
		return Record{}, fmt.Errorf("%w: version %d, this build reads %d", ErrRecord, r.Version, RecordVersion)
	case len(r.Sends) > MaxSends:
		return Record{}, fmt.Errorf("%w: field sent: %d, over %d", ErrRecord, len(r.Sends), MaxSends)
	case r.Checksum != sendsChecksum(r.Sends):
		return Record{}, fmt.Errorf("%w: field sum: %d, the sends sum to %d", ErrRecord, r.Checksum, sendsChecksum(r.Sends))
	}
	return r, nil
}

func sendsChecksum(sent []scheduler.WarmupSend) uint32 {
	text, _ := json.Marshal(sent)
	return crc32.ChecksumIEEE(text)
}
