package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

// ErrDrainFile wraps what is wrong with a file of a drain.
var ErrDrainFile = errors.New("file of a drain")

// DrainFileVersion is the form of the file of a drain that this build writes and reads.
const DrainFileVersion = 1

type drainFile struct {
	Form        string  `json:"form"`
	Version     int     `json:"version"`
	SinceUnixMs float64 `json:"since_unix_ms"`
}

const drainForm = "ternstage drain"

// EncodeDrain writes the file of a drain that holds since then (Unix ms). There is a file while one holds.
func EncodeDrain(since float64) []byte {
	text, _ := json.Marshal(drainFile{Form: drainForm, Version: DrainFileVersion, SinceUnixMs: since})
	return append(text, '\n')
}

// DecodeDrain reads the file of a drain; one that is torn, of another form or version is an error that wraps
// ErrDrain.
func DecodeDrain(text []byte) (since float64, err error) {
	var f drainFile
	if err := json.Unmarshal(text, &f); err != nil {
		return 0, fmt.Errorf("%w: torn or not JSON: %w", ErrDrainFile, err)
	}
	if f.Form != drainForm || f.Version != DrainFileVersion {
		return 0, fmt.Errorf("%w: form %q version %d, this build reads %q version %d", ErrDrainFile, f.Form, f.Version,
			drainForm, DrainFileVersion)
	}
	return f.SinceUnixMs, nil
}
