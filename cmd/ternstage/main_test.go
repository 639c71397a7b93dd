package main

import (
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestExitCodeOfAnError(t *testing.T) {
	for _, c := range []struct {
		name string
		args []string
		err  error
		want int
	}{
		{"serve", nil, errors.New("name: missing"), exitFailure},
		{"check", []string{"check"}, errors.New("name: missing"), exitFailure},
		{"admin", []string{"admin"}, errors.New("no such command"), exitUsage},
		{"a command of admin", []string{"admin", "drain"}, errors.New("no address"), exitUsage},
		{"an exit code", []string{"admin", "drain"}, fmt.Errorf("calls: %w", exitError(exitNoAnswer)), exitNoAnswer},
	} {
		t.Run(c.name, func(t *testing.T) {
			command, _, err := rootCommand().Find(c.args)
			require.NoError(t, err)
			assert.Equal(t, c.want, reportError(command, c.err))
		})
	}
}
