package main

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/ops/control"
	"ternstage/internal/ops/maintenance"
)

// runMain is set in processes in which the test binary is the program.
const runMain = "TERNSTAGE_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runAdmin runs `ternstage admin` and returns its exit code, what it printed and what it logged.
func runAdmin(t *testing.T, args ...string) (exitCode int, stdout, stderr string) {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	command := exec.Command(program, append([]string{"admin"}, args...)...)
	command.Env = append(os.Environ(), runMain+"=1", "BALANCER_MGMT=")
	var out, log bytes.Buffer
	command.Stdout, command.Stderr = &out, &log
	err = command.Run()
	var exit *exec.ExitError
	if err != nil {
		require.True(t, errors.As(err, &exit), "%v", err)
		exitCode = exit.ExitCode()
	}
	return exitCode, out.String(), log.String()
}

// storedDir returns a directory with the files of a broker; nil stands for no file.
func storedDir(t *testing.T, suspensions, drain []byte) string {
	t.Helper()
	dir := t.TempDir()
	path := filepath.Join(dir, heldFile)
	for name, text := range map[string][]byte{path: suspensions, control.DrainPath(path): drain} {
		if text != nil {
			require.NoError(t, os.WriteFile(name, text, 0o600))
		}
	}
	return dir
}

// TestSuspendedAndItsAlias checks that the command prints and exits the same under its name and under its earlier
// one.
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
		{"torn suspensions", suspensions[:9], drain, nil, exitUsage, "", "torn or not JSON"},
		{"torn drain", suspensions, drain[:9], []string{"--json"}, exitUsage, "", "torn or not JSON"},
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

func TestHelpNamesSuspendedOnly(t *testing.T) {
	exitCode, stdout, _ := runAdmin(t, "--help")
	assert.Equal(t, exitYes, exitCode)
	assert.Contains(t, stdout, "\n  suspended ")
	assert.NotContains(t, stdout, "held")
}

func TestAdminExitCodes(t *testing.T) {
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.Contains(r.URL.Path, "s-9") {
			w.WriteHeader(http.StatusNotFound)
		}
		_, _ = w.Write([]byte(`{"reason":"as answered"}`))
	}))
	t.Cleanup(api.Close)
	address := strings.TrimPrefix(api.URL, "http://")
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = silent.Close() })
	for _, c := range []struct {
		name     string
		args     []string
		exitCode int
		stdout   string
	}{
		{"yes", []string{"ready", "--mgmt", address}, exitYes, "ready    yes  as answered\n"},
		{"yes to all", []string{"suspend", "s-1", "s-2", "--mgmt", address}, exitYes,
			"suspend  s-1  yes  as answered\nsuspend  s-2  yes  as answered\n"},
		{"a no and a yes", []string{"resume", "s-9", "s-2", "--mgmt", address}, exitNo,
			"resume  s-9  no   as answered\nresume  s-2  yes  as answered\n"},
		{"no answer", []string{"drain", "--mgmt", silent.Addr().String(), "--within", "200ms"}, exitNoAnswer,
			"no answer"},
		{"no address", []string{"activate"}, exitUsage, ""},
		{"an invalid id", []string{"resume", "a/b", "--mgmt", address}, exitUsage, ""},
		{"no id", []string{"suspend", "--mgmt", address}, exitUsage, ""},
		{"JSON", []string{"ready", "--json", "--mgmt", address}, exitYes, `"exit": 0`},
	} {
		t.Run(c.name, func(t *testing.T) {
			exitCode, stdout, stderr := runAdmin(t, c.args...)
			assert.Equal(t, c.exitCode, exitCode, stderr)
			assert.Contains(t, stdout, c.stdout)
		})
	}
}
