package main

import (
	"bytes"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// envRunMain is the environment variable that makes the test binary run as the program.
const envRunMain = "TERNSTAGE_TEST_RUN_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(envRunMain) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// runAdmin runs `ternstage admin` and returns its exit code and output.
func runAdmin(t *testing.T, args ...string) (exitCode int, stdout, stderr string) {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	command := exec.Command(program, append([]string{"admin"}, args...)...)
	command.Env = append(os.Environ(), envRunMain+"=1", "BALANCER_MGMT=")
	var outBuffer, errBuffer bytes.Buffer
	command.Stdout, command.Stderr = &outBuffer, &errBuffer
	err = command.Run()
	var exit *exec.ExitError
	if err != nil {
		require.True(t, errors.As(err, &exit), "%v", err)
		exitCode = exit.ExitCode()
	}
	return exitCode, outBuffer.String(), errBuffer.String()
}

func TestHelpHidesTheAlias(t *testing.T) {
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
