package flight

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "flight.toml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoad(t *testing.T) {
	for _, c := range []struct {
		name, text string
		want       Config
	}{
		{"empty", "", Config{StreamsPerConnection: 128, MaxConnections: 128}},
		{"all keys", "enabled = true\nlisten = \"127.0.0.1:1\"\nnodes = true\nstreams = 2\nconns = 3\n",
			Config{Enabled: true, Listen: "127.0.0.1:1", Backends: true, StreamsPerConnection: 2, MaxConnections: 3}},
		{"off, with an invalid address", "listen = \"x\"\n",
			Config{Listen: "x", StreamsPerConnection: 128, MaxConnections: 128}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := Load(writeConfig(t, c.text))
			require.NoError(t, err)
			assert.Equal(t, c.want, got)
		})
	}
}

func TestLoadWithoutFile(t *testing.T) {
	got, err := Load(filepath.Join(t.TempDir(), "flight.toml"))
	require.NoError(t, err)
	assert.Equal(t, Config{}, got)
}

func TestLoadRejects(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"unknown key", "ports = 1\n", ": ports: unknown key"},
		{"no streams", "streams = 0\n", ": streams is 0 and conns is 128: both must be at least 1"},
		{"no connections", "conns = -1\n", ": streams is 128 and conns is -1: both must be at least 1"},
		{"an invalid address", "enabled = true\nlisten = \"x\"\n", ": listen: "},
		{"not TOML", "=", ": toml: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			path := writeConfig(t, c.text)
			got, err := Load(path)
			require.ErrorContains(t, err, path+c.want)
			assert.Equal(t, Config{}, got)
		})
	}
}

func TestDefaults(t *testing.T) {
	config := Config{StreamsPerConnection: 2}
	config.Defaults()
	assert.Equal(t, Config{StreamsPerConnection: 2, MaxConnections: 128}, config)
}
