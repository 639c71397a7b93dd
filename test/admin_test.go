package test

import (
	"bytes"
	"encoding/json"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// admin runs `ternstage admin` and returns its exit code and output.
func admin(t *testing.T, args ...string) (code int, out string) {
	c := exec.Command(programPath, append([]string{"admin"}, args...)...)
	var b bytes.Buffer
	c.Stdout, c.Stderr = &b, &b
	err := c.Run()
	if exit := (*exec.ExitError)(nil); err != nil {
		require.ErrorAs(t, err, &exit)
		return exit.ExitCode(), b.String()
	}
	return 0, b.String()
}

// TestAdminCommands checks the exit codes of the commands: 0 for success, 1 if the broker declines, 2 without an
// answer in time, 3 for an unusable command line. Commands may be repeated, and their JSON output can be parsed.
func TestAdminCommands(t *testing.T) {
	tmp := t.TempDir()
	backends, p := startWithBackends(t, nil, options{adminAPI: true, stateDir: tmp})
	for _, c := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"ready"}, 0, "ready    yes  ready"},
		{[]string{"suspend", "s-1", "s-2"}, 0, "suspend  s-1  yes  done"},
		{[]string{"suspend", "s-1"}, 0, "so already"},
		{[]string{"suspend", "s-9", "s-2"}, 1, "suspend  s-9  no   no leaf of that id was ever listed"},
		{[]string{"resume", "s-2"}, 0, "done"},
		{[]string{"resume", "a/b"}, 3, "is no backend's id"},
		{[]string{"resume"}, 3, "requires at least 1 arg"},
		{[]string{"drain"}, 0, "done"},
		{[]string{"ready"}, 1, "no"},
		{[]string{"held", "--dir", tmp}, 0, "suspended s-1\ndrained since 2"},
		{[]string{"activate"}, 0, "done"},
		{[]string{"held", "--dir", tmp}, 0, "suspended s-1\n"},
		{[]string{"ready", "--mgmt", ""}, 3, "no address"},
		{[]string{"ready", "--mgmt", freeAddress(t), "--within", "300ms"}, 2, "no answer"},
	} {
		code, out := admin(t, append([]string{"--mgmt", p.adminAddr}, c.args...)...)
		assert.Equal(t, c.code, code, "%v: %s", c.args, out)
		assert.Contains(t, out, c.out, "%v", c.args)
	}
	since := time.Now()
	requireServed(t, p, "out", 32)
	assert.Zero(t, attemptsSince(backends, "s-1", since),
		"a backend got an attempt after the command that suspended it succeeded")

	code, out := admin(t, "--mgmt", p.adminAddr, "--json", "resume", "s-1", "s-9")
	assert.Equal(t, 1, code)
	var got struct {
		Calls []struct {
			Call, ID, Reason string
			OK               bool
			Status           int
		}
		Exit int
	}
	require.NoError(t, json.Unmarshal([]byte(out), &got), out)
	require.Len(t, got.Calls, 2)
	assert.True(t, got.Calls[0].OK)
	assert.Equal(t, 404, got.Calls[1].Status)
	assert.Equal(t, 1, got.Exit)
}

// TestAdminCommandTimeout stops the broker. The command must repeat its call until its timeout and then report that
// there was no answer; if the broker continues before, the command must succeed.
func TestAdminCommandTimeout(t *testing.T) {
	_, p := startWithBackends(t, nil, options{adminAPI: true})
	require.NoError(t, p.Process.Signal(syscall.SIGSTOP))
	at := time.Now()
	code, out := admin(t, "--mgmt", p.adminAddr, "--within", "700ms", "suspend", "s-1", "s-2", "s-3")
	assert.Equal(t, 2, code, out)
	assert.Less(t, time.Since(at), 2*time.Second, "the timeout bounds all calls together")
	go func() {
		time.Sleep(1800 * time.Millisecond) // the first call of the command has timed out by then
		_ = p.Process.Signal(syscall.SIGCONT)
	}()
	code, out = admin(t, "--mgmt", p.adminAddr, "--within", "8s", "suspend", "s-1")
	assert.Equal(t, 0, code, out)
	assert.Equal(t, 200, adminCall(p, "PUT", "/v1/leafs/s-1/resume"))
}
