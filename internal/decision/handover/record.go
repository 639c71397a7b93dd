package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"ternstage/internal/decision/scheduler"
)

const (
	// RecordVersion is the version of the record that this build writes, and the only one that it reads.
	RecordVersion = 1
	// MaxSends is the maximum number of sends in a record that is read. Beyond it the successor waits one window, as
	// after any start.
	MaxSends = 65536

	// recordForm distinguishes the record from the broker's other files. It is stored, and so keeps the old words.
	recordForm = "ternstage cold sent"
)

// ErrRecord is wrapped by the errors of Decode.
var ErrRecord = errors.New("handover record")

// Record is what a process leaves for its successor, in its stored form.
type Record struct {
	// Form and Version tell what the content is. Decode accepts one of each.
	Form    string `json:"form"`
	Version int    `json:"version"`
	// WrittenUnixMs is when the process handed over, in milliseconds of Unix time.
	WrittenUnixMs float64 `json:"written_unix_ms"`
	// BrokerCount is the number of brokers in the settings of the process, by which quotas are divided; 0 is unknown.
	BrokerCount int `json:"peers,omitempty"`
	// Sends are the sends to warming backends within the last window. Their ages are as of WrittenUnixMs.
	Sends []scheduler.WarmupSend `json:"sent"`
	// Checksum is the CRC-32 (IEEE) of the JSON of Sends.
	Checksum uint32 `json:"sum"`
}

// Encode returns the content of a record that is written at writtenUnixMs by a process of a fleet of brokerCount
// brokers.
func Encode(writtenUnixMs float64, brokerCount int, sends []scheduler.WarmupSend) []byte {
	text, _ := json.Marshal(Record{
		Form:          recordForm,
		Version:       RecordVersion,
		WrittenUnixMs: writtenUnixMs,
		BrokerCount:   brokerCount,
		Sends:         sends,
		Checksum:      sendsChecksum(sends),
	})
	return append(text, '\n')
}

// Decode returns the record of a file. It returns an error that wraps ErrRecord when the content is torn, altered,
// too long, or of another form or version.
func Decode(text []byte) (Record, error) {
	var record Record
	if err := json.Unmarshal(text, &record); err != nil {
		return Record{}, fmt.Errorf("%w: torn or not JSON: %w", ErrRecord, err)
	}
	if err := record.validate(); err != nil {
		return Record{}, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	return record, nil
}

// validate names the fields in its errors as they are stored.
func (r *Record) validate() error {
	switch {
	case r.Form != recordForm:
		return fmt.Errorf("form %q, not %q", r.Form, recordForm)
	case r.Version != RecordVersion:
		return fmt.Errorf("version %d, this build reads %d", r.Version, RecordVersion)
	case len(r.Sends) > MaxSends:
		return fmt.Errorf("field sent: %d, over %d", len(r.Sends), MaxSends)
	}
	if checksum := sendsChecksum(r.Sends); r.Checksum != checksum {
		return fmt.Errorf("field sum: %d, the sends sum to %d", r.Checksum, checksum)
	}
	return nil
}

func sendsChecksum(sends []scheduler.WarmupSend) uint32 {
	text, _ := json.Marshal(sends)
	return crc32.ChecksumIEEE(text)
}
