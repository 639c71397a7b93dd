package operator

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

// load writes text to an operator's file and loads it.
func load(t *testing.T, text string) (*File, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "operator.jsonnet")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

func TestLoadWithoutPath(t *testing.T) {
	file, err := Load("")
	require.NoError(t, err)
	assert.Equal(t, &File{}, file)
}

func TestLoadOfMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.jsonnet"))
	assert.ErrorIs(t, err, fs.ErrNotExist)
}

func TestExampleIsValid(t *testing.T) {
	file, err := Load("../../deploy/operator.jsonnet")
	require.NoError(t, err)
	assert.Equal(t, &File{Flight: &Flight{Listen: "127.0.0.1:8815", StreamsPerConnection: 128, MaxConnections: 128}}, file)
}

func TestEachFieldIsMapped(t *testing.T) {
	file, err := load(t, `{
		flight: { enabled: true, listen: '127.0.0.1:1', nodes: true, streams: 2, conns: 3 },
		slices: { catalogue: '127.0.0.1:2', wait_ms: 100, spread_ms: 0, rest_ms: 10, answer_mb: 4, most: 5,
			versions: 6, history: 7, cache: 'map.json' },
	}`)
	require.NoError(t, err)
	assert.Equal(t, &Flight{Enabled: true, Listen: "127.0.0.1:1", Backends: true, StreamsPerConnection: 2,
		MaxConnections: 3}, file.Flight)
	sharding := file.Sharding
	require.NotNil(t, sharding)
	assert.Equal(t, "127.0.0.1:2", sharding.Catalogue)
	options := shardmap.DefaultPollerOptions
	options.WatchTimeoutMs = 100
	options.JitterMs = 0
	options.MinIntervalMs = 10
	assert.Equal(t, options, sharding.PollerOptions())
	assert.Equal(t, 4<<20, sharding.MaxAnswerBytes())
	assert.Equal(t, 5, sharding.MaxShards)
	assert.Equal(t, 6, sharding.MaxVersions)
	assert.Equal(t, 7, sharding.MaxRetired)
	assert.Equal(t, "map.json", sharding.CachePath)
}

func TestShardingDefaults(t *testing.T) {
	file, err := load(t, `{ slices: { catalogue: '127.0.0.1:2' } }`)
	require.NoError(t, err)
	assert.Nil(t, file.Flight)
	assert.Equal(t, shardmap.DefaultPollerOptions, file.Sharding.PollerOptions())
	assert.Equal(t, 32<<20, file.Sharding.MaxAnswerBytes())
	assert.Empty(t, file.Sharding.CachePath)
}

func TestInvalidFilesAreRejected(t *testing.T) {
	for text, want := range map[string]string{
		"{\n slices: {\n  catalogue: 'localhost:1' } }":              "operator.jsonnet:3: slices.catalogue: ",
		"{\n flight: { enabled: true } }":                            "operator.jsonnet:2: flight: missing property",
		"{\n slices: {\n  catalogue: '127.0.0.1:1', versions: 1 } }": "operator.jsonnet:3: slices.versions: ",
		"{ other: 1 }": "operator.jsonnet: additional properties 'other' not allowed",
	} {
		_, err := load(t, text)
		assert.ErrorContains(t, err, want)
	}
}
