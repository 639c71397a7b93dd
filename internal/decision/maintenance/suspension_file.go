package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

const (
	// SuspensionFileVersion is the version of the file of suspended backends that this build writes, and the only one
	// that it reads.
	SuspensionFileVersion = 1
	// MaxSuspensionFileBytes is the maximum size in bytes of a file of suspended backends that is read.
	MaxSuspensionFileBytes = MaxSuspended*(MaxIDBytes+4) + 256

	// suspensionForm distinguishes this file from the broker's other files. It is part of the file format.
	suspensionForm = "ternstage held leafs"
)

// ErrSuspensionFile is wrapped by the errors of DecodeSuspensions.
var ErrSuspensionFile = errors.New("file of suspended backends")

// suspensionFile is the stored form of the suspended backends. Its JSON names are the platform's terms.
type suspensionFile struct {
	Form      string   `json:"form"`
	Version   int      `json:"version"`
	Suspended []string `json:"held"`
	Checksum  uint32   `json:"sum"` // see idChecksum
}

// EncodeSuspensions returns the content of the file that stores the ids of the suspended backends.
func EncodeSuspensions(ids []string) []byte {
	text, _ := json.Marshal(suspensionFile{ // strings and numbers can always be encoded
		Form:      suspensionForm,
		Version:   SuspensionFileVersion,
		Suspended: ids,
		Checksum:  idChecksum(ids),
	})
	return append(text, '\n')
}

// DecodeSuspensions returns the ids of the suspended backends from the content of a file. It returns an error that
// wraps ErrSuspensionFile if the content is torn, altered or too large, or is of another form or version.
func DecodeSuspensions(text []byte) ([]string, error) {
	if len(text) > MaxSuspensionFileBytes {
		return nil, fmt.Errorf("%w: %d bytes, over the maximum of %d", ErrSuspensionFile,
			len(text), MaxSuspensionFileBytes)
	}
	var stored suspensionFile
	if err := json.Unmarshal(text, &stored); err != nil {
		return nil, fmt.Errorf("%w: torn or not JSON: %w", ErrSuspensionFile, err)
	}
	if err := stored.validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSuspensionFile, err)
	}
	return stored.Suspended, nil
}

// validate checks everything but the size and the JSON syntax. Its errors name fields as they are stored.
func (f *suspensionFile) validate() error {
	checksum := idChecksum(f.Suspended)
	switch {
	case f.Form != suspensionForm:
		return fmt.Errorf("form %q, not %q", f.Form, suspensionForm)
	case f.Version != SuspensionFileVersion:
		return fmt.Errorf("version %d, this build reads %d", f.Version, SuspensionFileVersion)
	case f.Checksum != checksum:
		return fmt.Errorf("field sum: %d, the checksum of the ids is %d", f.Checksum, checksum)
	case len(f.Suspended) > MaxSuspended:
		return fmt.Errorf("field held: %d ids, over the maximum of %d", len(f.Suspended), MaxSuspended)
	}
	for i, id := range f.Suspended {
		if !ValidID(id) {
			return fmt.Errorf("field held[%d]: %q is not a backend id", i, id)
		}
	}
	return nil
}

// idChecksum returns the CRC-32 (IEEE) of the ids, each followed by a newline.
func idChecksum(ids []string) uint32 {
	var lines strings.Builder
	for _, id := range ids {
		lines.WriteString(id)
		lines.WriteByte('\n')
	}
	return crc32.ChecksumIEEE([]byte(lines.String()))
}
