package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/contract"
	"ternstage/internal/transport/discovery"
)

// TestEachSettingIsMapped checks that each setting, set alone to a value that is not its default, sets its field.
func TestEachSettingIsMapped(t *testing.T) {
	for _, c := range []struct {
		setting string
		value   any
		got     func(*Config) any
		want    any
	}{
		{"name", "n9", func(c *Config) any { return c.Name }, "n9"},
		{"listen", "10.0.0.4:80", func(c *Config) any { return c.Listen }, "10.0.0.4:80"},
		{"discovery", "10.0.0.5:80", func(c *Config) any { return c.Discovery }, "10.0.0.5:80"},
		{"mgmt", "[::1]:80", func(c *Config) any { return c.AdminAddress }, "[::1]:80"},
		{"seed", "ff", func(c *Config) any { return c.Seed }, uint64(255)},
		{"limits.cores", 0.5, func(c *Config) any { return c.Cores }, 0.5},
		{"limits.memory_mb", 24, func(c *Config) any { return c.MemoryMB }, 24},
		{"limits.sockets", 64, func(c *Config) any { return c.MaxDescriptors }, 64},
		{"known", object{"revision": 41, "complete": true, "members": []any{
			object{"id": "s-1", "host_port": "10.1.0.1:80", "phase": "SERVING"}}},
			func(c *Config) any { return c.KnownEndpoints }, discovery.EndpointList{Revision: 41, Complete: true,
				Endpoints: []discovery.EndpointRecord{{ID: "s-1", Address: "10.1.0.1:80", Phase: "SERVING"}}}},
		{"settings.areas", []string{"a", "b"}, func(c *Config) any { return c.Zones }, []string{"a", "b"}},
		{"settings.limits.max_open", 7, func(c *Config) any { return c.MaxOpen }, 7},
		{"settings.limits.multiplex", 8, func(c *Config) any { return c.StreamsPerConnection }, 8},
		{"settings.limits.dial_timeout_ms", 9.5, func(c *Config) any { return c.DialTimeoutMs }, 9.5},
		{"settings.limits.keepalive_ms", 10, func(c *Config) any { return c.IdleTimeoutMs }, 10.0},
		{"settings.callers.marks_retry", true, func(c *Config) any { return c.Contracts.ClientsMarkRetries }, true},
		{"settings.customers", []any{object{"name": "acme", "allowance_per_s": 12.5}},
			func(c *Config) any { return c.Contracts.Tenants }, []contract.Tenant{{Name: "acme", QueriesPerSecond: 12.5}}},
		{"settings.domain.min_share", []float64{0.5}, func(c *Config) any { return c.Contracts.Classes[0] },
			contract.Class{Name: "quote", Idempotency: "read_like", LatencyObjectiveMs: 700, DeadlineMs: 1000,
				MinCompleteness: 0.5}},
		{"settings.balancers", 3, func(c *Config) any { return c.Scheduler.BrokerCount }, 3},
	} {
		t.Run(c.setting, func(t *testing.T) {
			config := minimalConfig()
			set(config, c.setting, c.value)
			parsed, err := parse(t, config)
			require.NoError(t, err)
			assert.Equal(t, c.want, c.got(parsed))
		})
	}
}

func TestDecodedSettingsIncludeUnknownSettings(t *testing.T) {
	config := minimalConfig()
	set(config, "settings.unheard_of", 1)
	changed, err := parse(t, config)
	require.NoError(t, err)
	same, err := parse(t, config)
	require.NoError(t, err)
	minimal, err := parse(t, minimalConfig())
	require.NoError(t, err)
	assert.Equal(t, same.DecodedSettings, changed.DecodedSettings)
	assert.NotEqual(t, minimal.DecodedSettings, changed.DecodedSettings, "an unknown setting is a difference")
}
