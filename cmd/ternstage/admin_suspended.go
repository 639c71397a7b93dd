package main

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ternstage/internal/control/adminops"
	"ternstage/internal/decision/maintenance"
)

// storedState is the state that the processes of a broker have stored. Its JSON is the output of the command.
type storedState struct {
	Suspended    []string `json:"suspended"`
	Drained      bool     `json:"drained"`
	DrainedSince string   `json:"drained_since,omitempty"` // RFC 3339
}

// suspendedCommand returns the command that prints the stored state. The admin API has no call for it.
func (a *admin) suspendedCommand(name string) *cobra.Command {
	var dir string
	command := &cobra.Command{
		Use:   name,
		Short: "Print which backends are suspended and whether the broker is drained, as stored on disk",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			state, err := readStoredState(dir)
			if err != nil {
				return err
			}
			if a.asJSON {
				return printJSON(c.OutOrStdout(), state)
			}
			state.print(c)
			return nil
		},
	}
	command.Flags().StringVar(&dir, "dir", os.TempDir(), "$TMPDIR of the broker")
	return command
}

// readStoredState reads the files in the broker's $TMPDIR. A missing file means that nothing is stored. For a file
// that cannot be used, the error names the file.
func readStoredState(dir string) (storedState, error) {
	state := storedState{Suspended: []string{}}
	path := filepath.Join(dir, suspensionsFile)
	text, err := os.ReadFile(path)
	if err == nil {
		state.Suspended, err = maintenance.DecodeSuspensions(text)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return storedState{}, fmt.Errorf("%s: %w", path, err)
	}
	path = adminops.DrainPath(path)
	text, err = os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return state, nil
	}
	if err != nil {
		return storedState{}, fmt.Errorf("%s: %w", path, err)
	}
	sinceUnixMs, err := maintenance.DecodeDrain(text)
	if err != nil {
		return storedState{}, fmt.Errorf("%s: %w", path, err)
	}
	state.Drained = true
	state.DrainedSince = time.UnixMilli(int64(sinceUnixMs)).UTC().Format(time.RFC3339)
	return state, nil
}

func (s *storedState) print(c *cobra.Command) {
	for _, id := range s.Suspended {
		c.Println("suspended", id)
	}
	if s.Drained {
		c.Println("drained since", s.DrainedSince)
	}
	if len(s.Suspended) == 0 && !s.Drained {
		c.Println("nothing")
	}
}
