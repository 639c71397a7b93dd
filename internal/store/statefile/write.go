package statefile

import (
	"fmt"
	"os"
)

const filePermissions = 0o600

// Write replaces the file at path by content in one rename. It first writes the content to a temporary file of this
// process in the same directory ("path.PID.new"), which it removes when it fails. The error names the step that
// failed; the old file is then unchanged.
//
// Write does not sync: after a crash of the machine the file may be empty or old. The content has to carry a checksum
// or a form by which its reader detects damage.
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
