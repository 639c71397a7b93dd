package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"strings"
)

// ErrSuspensionFile wraps what is wrong with a file of bans.
var ErrSuspensionFile = errors.New("file of held leafs")

// SuspensionFileVersion is the form of the file of held leafs that this build writes and reads.
const SuspensionFileVersion = 1

// MaxSuspensionFileBytes is the largest file of held leafs that is read, in bytes.
const MaxSuspensionFileBytes = MaxSuspended*(MaxIDBytes+4) + 256

type suspensionFile struct {
	Form      string   `json:"form"`
	Version   int      `json:"version"`
	Suspended []string `json:"held"`
	Checksum  uint32   `json:"sum"` // CRC-32 (IEEE) of the ids, each followed by a newline
}

const suspensionForm = "ternstage held leafs"

// EncodeSuspensions writes the ids of the leafs held out as a file.
func EncodeSuspensions(ids []string) []byte {
	text, _ := json.Marshal(suspensionFile{Form: suspensionForm, Version: SuspensionFileVersion, Suspended: ids, Checksum: idChecksum(ids)})
	return append(text, '\n')
}

// DecodeSuspensions reads a file of held leafs. A file that is torn, of another form or version, too large or whose
// sum does not agree is an error that wraps ErrFile and says which.
func DecodeSuspensions(text []byte) ([]string, error) {
	if len(text) > MaxSuspensionFileBytes {
		return nil, fmt.Errorf("%w: %d bytes, over %d", ErrSuspensionFile, len(text), MaxSuspensionFileBytes)
	}
	var f suspensionFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%w: torn or not JSON: %w", ErrSuspensionFile, err)
	}
	switch {
	case f.Form != suspensionForm:
		return nil, fmt.Errorf("%w: form %q, not %q", ErrSuspensionFile, f.Form, suspensionForm)
	case f.Version != SuspensionFileVersion:
		return nil, fmt.Errorf("%w: version %d, this build reads %d", ErrSuspensionFile, f.Version, SuspensionFileVersion)
	case f.Checksum != idChecksum(f.Suspended):
		return nil, fmt.Errorf("%w: field sum: %d, the ids sum to %d", ErrSuspensionFile, f.Checksum, idChecksum(f.Suspended))
	case len(f.Suspended) > MaxSuspended:
		return nil, fmt.Errorf("%w: field held: %d ids, over %d", ErrSuspensionFile, len(f.Suspended), MaxSuspended)
	}
	for i, id := range f.Suspended {
		if !ValidID(id) {
			return nil, fmt.Errorf("%w: field held[%d]: %q is no leaf id", ErrSuspensionFile, i, id)
		}
	}
	return f.Suspended, nil
}

func idChecksum(ids []string) uint32 {
	var b strings.Builder
	for _, id := range ids {
		b.WriteString(id)
		b.WriteByte('\n')
	}
	return crc32.ChecksumIEEE([]byte(b.String()))
}
