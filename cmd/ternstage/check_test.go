package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const validConfig = `{"name": "n1", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500", "seed": "5",
	"settings": {"discovery": "on_request", "resolution_ms": 5,
		"categories": [{"name": "quote", "effect": "read_like", "aim_ms": 700, "deadline_ms": 1000, "worth": 1}],
		"customers": [{"name": "acme", "allowance_per_s": 12.5}],
		"domain": {"sets": 4, "slices": 8, "width": 3, "per_call": 1, "min_share": [0.7]}}}`

// runCheck runs `ternstage check` and returns its output.
func runCheck(t *testing.T, args ...string) (string, error) {
	t.Helper()
	for _, name := range []string{"BALANCER_NAME", "BALANCER_LISTEN", "BALANCER_DISCOVERY", "BALANCER_MGMT",
		"BALANCER_INHERITED_FD", envOperator} {
		t.Setenv(name, "")
	}
	t.Setenv(envFlight, t.TempDir()+"/none.toml")
	var output bytes.Buffer
	root := rootCommand()
	root.SetOut(&output)
	root.SetArgs(append([]string{"check"}, args...))
	err := root.Execute()
	return output.String(), err
}

func TestCheckPrintsTheConfiguration(t *testing.T) {
	config := writeFile(t, "config.json", validConfig)
	output, err := runCheck(t, config)
	require.NoError(t, err)
	assert.Equal(t, `n1 takes queries at 127.0.0.1:8080 and asks discovery at 127.0.0.1:8500
class quote: read_like, wanted within 700 ms, given up at 1000 ms, answered from 70% of its weight
tenant acme: 12.5 queries a second
8 shards on 4 cells, each on 3; they do not move
`, output)

	operatorFile := writeFile(t, "operator.jsonnet", `{ slices: { catalogue: '127.0.0.1:7700' },
		flight: { enabled: true, listen: '127.0.0.1:7443', nodes: true } }`)
	output, err = runCheck(t, config, "--operator", operatorFile)
	require.NoError(t, err)
	assert.Equal(t, `n1 takes queries at 127.0.0.1:8080 and asks discovery at 127.0.0.1:8500
class quote: read_like, wanted within 700 ms, given up at 1000 ms, answered from 70% of its weight
tenant acme: 12.5 queries a second
slices move, as the catalogue at 127.0.0.1:7700 says
Flight clients are taken at 127.0.0.1:7443
rate nodes are asked over Flight
`, output)
}

func TestCheckNamesTheFile(t *testing.T) {
	path := writeFile(t, "config.json", `{"name": ""}`)
	_, err := runCheck(t, path)
	assert.EqualError(t, err, path+": name: missing")
}
