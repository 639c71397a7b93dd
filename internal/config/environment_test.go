package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestEnvironmentOverridesTheFile(t *testing.T) {
	c, err := Parse(encode(t, minimalConfig()), environment(map[string]string{
		"BALANCER_NAME":         "n7",
		"BALANCER_LISTEN":       "10.0.0.1:1",
		"BALANCER_DISCOVERY":    "10.0.0.2:2",
		"BALANCER_MGMT":         "10.0.0.3:3",
		"BALANCER_INHERITED_FD": "5",
	}), false)
	require.NoError(t, err)
	assert.Equal(t, "n7", c.Name)
	assert.Equal(t, "10.0.0.1:1", c.Listen)
	assert.Equal(t, "10.0.0.2:2", c.Discovery)
	assert.Equal(t, "10.0.0.3:3", c.AdminAddress)
	assert.Equal(t, 5, c.InheritedFD)
}

func TestReloadTakesDiscoveryFromTheFile(t *testing.T) {
	env := environment(map[string]string{"BALANCER_DISCOVERY": "10.0.0.2:2", "BALANCER_NAME": "n7"})
	c, err := Parse(encode(t, minimalConfig()), env, true)
	require.NoError(t, err)
	assert.Equal(t, "127.0.0.1:8500", c.Discovery)
	assert.Equal(t, "n7", c.Name, "other variables take precedence over the file")

	withoutDiscovery := minimalConfig()
	delete(withoutDiscovery, "discovery")
	c, err = Parse(encode(t, withoutDiscovery), env, true)
	require.NoError(t, err)
	assert.Equal(t, "10.0.0.2:2", c.Discovery, "the file has no address of discovery")
}

func TestInvalidInheritedDescriptor(t *testing.T) {
	for _, text := range []string{"x", "-1", "2147483648"} {
		_, err := Parse(encode(t, minimalConfig()), environment(map[string]string{"BALANCER_INHERITED_FD": text}), false)
		assert.ErrorContains(t, err, `BALANCER_INHERITED_FD: "`+text+`" is no descriptor: `)
	}
}
