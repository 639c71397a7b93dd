package maintenance

import (
	"encoding/json"
	"errors"
	"fmt"
)

const (
	// DrainFileVersion is the version of the drain file that this build writes, and the only one that it reads.
	DrainFileVersion = 1

	// drainForm distinguishes this file from the broker's other files. It is part of the file format.
	drainForm = "ternstage drain"
)

// ErrDrainFile is wrapped by the errors of DecodeDrain.
var ErrDrainFile = errors.New("drain file")

// drainFile is the stored form of a drain.
type drainFile struct {
	Form        string  `json:"form"`
	Version     int     `json:"version"`
	SinceUnixMs float64 `json:"since_unix_ms"`
}

// EncodeDrain returns the content of the file that stores a drain that began at sinceUnixMs. The file exists only
// while the broker is draining.
func EncodeDrain(sinceUnixMs float64) []byte {
	text, _ := json.Marshal(drainFile{Form: drainForm, Version: DrainFileVersion, SinceUnixMs: sinceUnixMs})
	return append(text, '\n')
}

// DecodeDrain returns when the stored drain began, in milliseconds of Unix time. It returns an error that wraps
// ErrDrainFile if the content is torn, or is of another form or version.
func DecodeDrain(text []byte) (sinceUnixMs float64, err error) {
	var stored drainFile
	if err := json.Unmarshal(text, &stored); err != nil {
		return 0, fmt.Errorf("%w: torn or not JSON: %w", ErrDrainFile, err)
	}
	if stored.Form != drainForm || stored.Version != DrainFileVersion {
		return 0, fmt.Errorf("%w: form %q version %d, this build reads %q version %d", ErrDrainFile,
			stored.Form, stored.Version, drainForm, DrainFileVersion)
	}
	return stored.SinceUnixMs, nil
}
