package main

import (
	"errors"
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// runServe runs the program without a sub-command and returns its exit code and output.
func runServe(t *testing.T, environment ...string) (exitCode int, output string) {
	t.Helper()
	program, err := os.Executable()
	require.NoError(t, err)
	command := exec.Command(program)
	command.Env = append(append(os.Environ(), envRunMain+"=1", "BALANCER_NAME=", "BALANCER_LISTEN=", "BALANCER_DISCOVERY="),
		environment...)
	text, err := command.CombinedOutput()
	var exit *exec.ExitError
	require.True(t, errors.As(err, &exit), "%v", err)
	return exit.ExitCode(), string(text)
}

func TestServeWithoutAConfiguration(t *testing.T) {
	exitCode, output := runServe(t, "BALANCER_CONFIG=")
	assert.Equal(t, exitFailure, exitCode)
	assert.Equal(t, "ternstage: BALANCER_CONFIG: missing\n"+
		"To try it on an emulated fleet: make try. To serve: BALANCER_CONFIG=FILE ternstage\n", output)
}

func TestServeNamesTheSetting(t *testing.T) {
	exitCode, output := runServe(t, "BALANCER_CONFIG="+writeFile(t, "config.json", `{"name": "n1"}`))
	assert.Equal(t, exitFailure, exitCode)
	assert.Equal(t, "ternstage: listen: not an ip:port\n", output)
}
