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
	// MaxAttempts is the maximum number of attempts in a record. Decode rejects a longer one, and the successor waits
	// one window, as after a start without a record.
	MaxAttempts = 65536

	// recordForm distinguishes the record from the broker's other files. It is part of the file format.
	recordForm = "ternstage cold sent"
)

// ErrRecord is wrapped by the errors of Decode.
var ErrRecord = errors.New("handover record")

// Record is the stored form of the attempts that a process hands over to its successor.
type Record struct {
	// Form and Version identify the file format. Decode accepts only those that Encode writes.
	Form    string `json:"form"`
	Version int    `json:"version"`
	// WrittenUnixMs is the time of the handover, in milliseconds of Unix time.
	WrittenUnixMs float64 `json:"written_unix_ms"`
	// BrokerCount is the number of brokers in the settings of the process, by which it divides quotas; 0 if unknown.
	BrokerCount int `json:"peers,omitempty"`
	// Attempts are those sent to warming backends within the last window. Their ages are as of WrittenUnixMs.
	Attempts []scheduler.WarmupAttempt `json:"sent"`
	// Checksum is the CRC-32 (IEEE) of the JSON of Attempts.
	Checksum uint32 `json:"sum"`
}

// Encode returns the content of a record that is written at writtenUnixMs by a process whose settings name
// brokerCount brokers; 0 if the number is unknown.
func Encode(writtenUnixMs float64, brokerCount int, attempts []scheduler.WarmupAttempt) []byte {
	text, _ := json.Marshal(Record{
		Form:          recordForm,
		Version:       RecordVersion,
		WrittenUnixMs: writtenUnixMs,
		BrokerCount:   brokerCount,
		Attempts:      attempts,
		Checksum:      attemptsChecksum(attempts),
	})
	return append(text, '\n')
}

// Decode parses the content of a record. It returns an error that wraps ErrRecord if the content is torn or altered,
// has more than MaxAttempts attempts, or is of another form or version.
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

// validate checks everything but the JSON syntax. Its errors name fields as they are stored.
func (r *Record) validate() error {
	switch {
	case r.Form != recordForm:
		return fmt.Errorf("form %q, not %q", r.Form, recordForm)
	case r.Version != RecordVersion:
		return fmt.Errorf("version %d, this build reads %d", r.Version, RecordVersion)
	case len(r.Attempts) > MaxAttempts:
		return fmt.Errorf("field sent: %d attempts, at most %d are accepted", len(r.Attempts), MaxAttempts)
	}
	if checksum := attemptsChecksum(r.Attempts); r.Checksum != checksum {
		return fmt.Errorf("field sum: %d, the checksum of the attempts is %d", r.Checksum, checksum)
	}
	return nil
}

func attemptsChecksum(attempts []scheduler.WarmupAttempt) uint32 {
	text, _ := json.Marshal(attempts)
	return crc32.ChecksumIEEE(text)
}
