package config

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestDefaults(t *testing.T) {
	c, err := parse(t, minimalConfig())
	require.NoError(t, err)
	assert.Equal(t, "n0", c.Name)
	assert.Equal(t, "127.0.0.1:8080", c.Listen)
	assert.Equal(t, "127.0.0.1:8500", c.Discovery)
	assert.Equal(t, uint64(0x8c1f30d27a5be964), c.Seed)
	assert.Empty(t, c.AdminAddress)
	assert.Equal(t, -1, c.InheritedFD)
	assert.Equal(t, 1.0, c.Cores)
	assert.Equal(t, 192, c.MemoryMB)
	assert.Equal(t, 1024, c.MaxDescriptors)
	assert.Empty(t, c.KnownEndpoints.Endpoints)
	assert.Empty(t, c.Zones)
	assert.Zero(t, c.MaxOpen)
	assert.Equal(t, 32, c.StreamsPerConnection)
	assert.Equal(t, 250.0, c.DialTimeoutMs)
	assert.Equal(t, 30_000.0, c.IdleTimeoutMs)
	assert.Empty(t, c.Contracts.Tenants)
	assert.False(t, c.Contracts.ClientsMarkRetries)
	assert.False(t, c.Contracts.Resharding)
	require.Len(t, c.Contracts.Classes, 1)
	assert.Equal(t, 1.0, c.Contracts.Classes[0].MinCompleteness)
}

func TestLoad(t *testing.T) {
	for _, name := range []string{"BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_MGMT", "BALANCER_INHERITED_FD"} {
		t.Setenv(name, "")
	}
	t.Setenv("BALANCER_DISCOVERY", "10.0.0.1:8500")
	path := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("BALANCER_CONFIG", path)
	_, err := Load()
	assert.ErrorIs(t, err, fs.ErrNotExist)
	assert.ErrorContains(t, err, "BALANCER_CONFIG: ")

	require.NoError(t, os.WriteFile(path, encode(t, minimalConfig()), 0o600))
	c, err := Load()
	require.NoError(t, err)
	assert.Equal(t, "10.0.0.1:8500", c.Discovery, "the environment takes precedence over the file")
	c, err = Reload()
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:8500", c.Discovery, "on a reload the file takes precedence over the environment")

	t.Setenv("BALANCER_CONFIG", "")
	_, err = Load()
	assert.ErrorIs(t, err, ErrNotConfigured)
	assert.EqualError(t, err, "BALANCER_CONFIG: missing")
}

func TestParseRejectsInvalidJSON(t *testing.T) {
	_, err := Parse([]byte("{"), environment(nil), false)
	assert.EqualError(t, err, "configuration: unexpected end of JSON input")
}
