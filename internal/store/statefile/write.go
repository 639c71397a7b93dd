package statefile

import (
	"fmt"
	"os"
)

const filePermissions = 0o600

// Write replaces the file at path by content in one rename. The content is first written beside it, under a name of
// this process ("path.PID.new"), which is removed when Write fails. The error names the step that failed; the old
// file is then as it was.
//
// Write does not sync: after a crash of the machine the file may be empty or old. Contents carry a checksum or a form
// by which their reader tells.
func Write(path string, content []byte) error {
	temporary := fmt.Sprintf("%s.%d.new", path, os.Getpid())
	if err := os.WriteFile(temporary, content, filePermissions); err != nil {
		_ = os.Remove(temporary)
		return fmt.Errorf("write %s: %w", temporary, err)
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = os.Remove(temporary)
		return fmt.Errorf("rename to %s: %w", path, err)
	}
	return nil
}
