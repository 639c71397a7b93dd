package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/control/adminops"
	"ternstage/internal/decision/maintenance"
)

// storedDir returns a directory with the stored files of a broker; nil means no file.
func storedDir(t *testing.T, suspensions, drain []byte) string {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, suspensionsFile)
	for name, text := range map[string][]byte{path: suspensions, adminops.DrainPath(path): drain} {
		if text != nil {
			require.NoError(t, os.WriteFile(name, text, 0o600))
		}
	}
	return dir
}

// TestSuspendedAndItsAlias checks that output and exit code are the same under the command's current and earlier
// name.
func TestSuspendedAndItsAlias(t *testing.T) {
	suspensions := maintenance.EncodeSuspensions([]string{"s-1", "s-2"})
	drain := maintenance.EncodeDrain(1796285471204.617)
	for _, c := range []struct {
		name               string
		suspensions, drain []byte
		args               []string
		exitCode           int
		stdout, stderr     string
	}{
		{"text", suspensions, drain, nil, exitYes,
			"suspended s-1\nsuspended s-2\ndrained since 2026-12-03T08:11:11Z\n", ""},
		{"JSON", suspensions, drain, []string{"--json"}, exitYes, `{
  "suspended": [
    "s-1",
    "s-2"
  ],
  "drained": true,
  "drained_since": "2026-12-03T08:11:11Z"
}
`, ""},
		{"nothing", nil, nil, nil, exitYes, "nothing\n", ""},
		{"nothing as JSON", nil, nil, []string{"--json"}, exitYes,
			"{\n  \"suspended\": [],\n  \"drained\": false\n}\n", ""},
		{"truncated suspensions", suspensions[:9], drain, nil, exitUsage, "", "torn or not JSON"},
		{"truncated drain", suspensions, drain[:9], []string{"--json"}, exitUsage, "", "torn or not JSON"},
		{"an argument", nil, nil, []string{"s-1"}, exitUsage, "", "unknown command"},
		{"an unknown flag", nil, nil, []string{"--none"}, exitUsage, "", "unknown flag"},
	} {
		for _, command := range []string{"suspended", "held"} {
			t.Run(c.name+" by "+command, func(t *testing.T) {
				dir := storedDir(t, c.suspensions, c.drain)
				exitCode, stdout, stderr := runAdmin(t, append([]string{command, "--dir", dir}, c.args...)...)
				assert.Equal(t, c.exitCode, exitCode, stderr)
				assert.Equal(t, c.stdout, stdout)
				assert.Contains(t, stderr, c.stderr)
			})
		}
	}
}
