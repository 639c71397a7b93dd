package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/transport/flight"
)

// writeFile writes a file to a temporary directory and returns its path.
func writeFile(t *testing.T, name, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestLoadFeatures(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none.toml")
	withFlight := writeFile(t, "operator.jsonnet", `{ flight: { enabled: true, listen: '127.0.0.1:7443', streams: 7 } }`)
	withSharding := writeFile(t, "operator.jsonnet", `{ slices: { catalogue: '127.0.0.1:7700' } }`)
	flightTOML := writeFile(t, "flight.toml", "enabled = true\nlisten = \"127.0.0.1:7444\"\nconns = 9\n")
	sectionConfig := flight.Config{Enabled: true, Listen: "127.0.0.1:7443", StreamsPerConnection: 7, MaxConnections: 128}
	tomlConfig := flight.Config{Enabled: true, Listen: "127.0.0.1:7444", StreamsPerConnection: 128, MaxConnections: 9}
	for _, c := range []struct {
		name                       string
		flag, envOperator, envTOML string
		flight                     flight.Config
		flightFromTOML, resharding bool
	}{
		{"no file", "", "", missing, flight.Config{}, false, false},
		{"the flag", withFlight, "", flightTOML, sectionConfig, false, false},
		{"the environment", "", withFlight, flightTOML, sectionConfig, false, false},
		{"the flag takes precedence over the environment", withSharding, withFlight, missing, flight.Config{}, false, true},
		{"flight.toml", withSharding, "", flightTOML, tomlConfig, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv(envOperator, c.envOperator)
			t.Setenv(envFlight, c.envTOML)
			enabled, err := loadFeatures(c.flag)
			require.NoError(t, err)
			assert.Equal(t, c.flight, enabled.flight)
			assert.Equal(t, c.flightFromTOML, enabled.flightFromTOML)
			assert.Equal(t, c.resharding, enabled.file.Sharding != nil)
		})
	}
}

func TestLoadFeaturesNamesTheInvalidFile(t *testing.T) {
	t.Setenv(envFlight, "")
	path := writeFile(t, "operator.jsonnet", `{ flight: { enabled: 'yes' } }`)
	_, err := loadFeatures(path)
	assert.ErrorContains(t, err, path)
	flightTOML := writeFile(t, "flight.toml", "unheard = 1\n")
	t.Setenv(envFlight, flightTOML)
	_, err = loadFeatures("")
	assert.ErrorContains(t, err, flightTOML)
}
