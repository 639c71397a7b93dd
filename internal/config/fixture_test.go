package config

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// object is a JSON object.
type object = map[string]any

// minimalConfig returns a configuration with the required settings only.
func minimalConfig() object {
	return object{
		"name":      "n0",
		"listen":    "127.0.0.1:8080",
		"discovery": "127.0.0.1:8500",
		"seed":      "8c1f30d27a5be964",
		"settings": object{
			"resolution_ms": 5,
			"categories": []any{
				object{"name": "quote", "effect": "read_like", "aim_ms": 700, "deadline_ms": 1000, "worth": 1},
			},
			"domain": object{"sets": 4, "slices": 8, "width": 3},
		},
	}
}

// set sets the field of a configuration at a path such as "settings.limits.max_open". It creates missing objects.
func set(config object, path string, value any) {
	names := strings.Split(path, ".")
	last := len(names) - 1
	for _, name := range names[:last] {
		if config[name] == nil {
			config[name] = object{}
		}
		config = config[name].(object)
	}
	config[names[last]] = value
}

// encode returns the JSON text of a configuration.
func encode(t *testing.T, config object) []byte {
	t.Helper()
	text, err := json.Marshal(config)
	require.NoError(t, err)
	return text
}

// environment returns a function that looks up these environment variables.
func environment(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// parse parses a configuration in an empty environment.
func parse(t *testing.T, config object) (*Config, error) {
	t.Helper()
	return Parse(encode(t, config), environment(nil), false)
}
