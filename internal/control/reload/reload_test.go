package reload

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/config"
	"ternstage/internal/logs"
)

// immediateLoop runs posted work at once.
type immediateLoop struct{}

func (immediateLoop) Post(work func()) { work() }

// fakeDiscovery records the addresses that are passed to MoveTo.
type fakeDiscovery struct{ addresses []string }

func (d *fakeDiscovery) MoveTo(address string) { d.addresses = append(d.addresses, address) }

// logFile is a log with the path of its file, from which tests read its lines.
type logFile struct {
	*logs.Log
	path string
}

func newLogFile(t *testing.T) *logFile {
	t.Helper()
	path := filepath.Join(t.TempDir(), "log")
	file, err := os.Create(path)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	return &logFile{logs.New(file, "n0"), path}
}

// lines returns the fields of each line that was logged.
func (l *logFile) lines(t *testing.T) []map[string]any {
	t.Helper()
	l.Close()
	text, err := os.ReadFile(l.path)
	require.NoError(t, err)
	var lines []map[string]any
	for line := range strings.Lines(string(text)) {
		var fields map[string]any
		require.NoError(t, json.Unmarshal([]byte(line), &fields))
		lines = append(lines, fields)
	}
	return lines
}

func started() config.Config {
	return config.Config{Name: "n0", Listen: "127.0.0.1:80", Discovery: "127.0.0.1:81", Cores: 1, MemoryMB: 192,
		MaxDescriptors: 512, DecodedSettings: map[string]any{"zone": "a"}}
}

func TestApply(t *testing.T) {
	for name, c := range map[string]struct {
		change       func(*config.Config)
		moves        []string
		needsRestart []any
	}{
		"nothing":         {func(*config.Config) {}, nil, []any{}},
		"discovery":       {func(c *config.Config) { c.Discovery = "127.0.0.1:82" }, []string{"127.0.0.1:82"}, []any{}},
		"name and listen": {func(c *config.Config) { c.Name, c.Listen = "n1", "127.0.0.1:83" }, nil, []any{"name", "listen"}},
		"cores":           {func(c *config.Config) { c.Cores = 2 }, nil, []any{"limits"}},
		"memory":          {func(c *config.Config) { c.MemoryMB = 256 }, nil, []any{"limits"}},
		"descriptors":     {func(c *config.Config) { c.MaxDescriptors = 1024 }, nil, []any{"limits"}},
		"settings": {func(c *config.Config) { c.DecodedSettings = map[string]any{"zone": "b"} }, nil,
			[]any{"settings"}},
	} {
		t.Run(name, func(t *testing.T) {
			log := newLogFile(t)
			discovery := &fakeDiscovery{}
			inForce := started()
			reloader := New(immediateLoop{}, log.Log, discovery, &inForce)
			loaded := started()
			c.change(&loaded)
			reloader.apply(&loaded, nil)
			reloader.apply(&loaded, nil) // the new address is already in force

			assert.Equal(t, c.moves, discovery.addresses)
			lines := log.lines(t)
			require.Len(t, lines, 2)
			assert.Equal(t, "reloaded", lines[0]["msg"])
			assert.Equal(t, loaded.Discovery, lines[0]["discovery"])
			assert.Equal(t, len(c.moves) > 0, lines[0]["address_changed"])
			assert.Equal(t, c.needsRestart, lines[0]["needs_restart"])
			assert.Equal(t, false, lines[1]["address_changed"])
			assert.Equal(t, c.needsRestart, lines[1]["needs_restart"])
		})
	}
}

// TestServe checks that each signal reads the file, and that a file that cannot be read changes nothing.
func TestServe(t *testing.T) {
	t.Setenv("BALANCER_CONFIG", filepath.Join(t.TempDir(), "absent.json"))
	log := newLogFile(t)
	discovery := &fakeDiscovery{}
	inForce := started()
	signals := make(chan os.Signal, 2)
	signals <- os.Interrupt
	signals <- os.Interrupt
	close(signals)
	New(immediateLoop{}, log.Log, discovery, &inForce).Serve(signals)

	assert.Empty(t, discovery.addresses)
	assert.Equal(t, started(), inForce)
	lines := log.lines(t)
	require.Len(t, lines, 2)
	for _, line := range lines {
		assert.Equal(t, "reload failed: the old configuration stays", line["msg"])
		assert.Contains(t, line["error"], "absent.json")
	}
}
