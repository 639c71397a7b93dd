package config

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestValidationNamesTheSetting(t *testing.T) {
	class := func(name, effect string) []any {
		return []any{object{"name": name, "effect": effect, "aim_ms": 700, "deadline_ms": 1000}}
	}
	for _, c := range []struct {
		name    string
		setting string
		value   any
		want    string
	}{
		{"no name", "name", "", "name: missing"},
		{"no address", "listen", "", "listen: not an ip:port"},
		{"a host name", "listen", "localhost:80",
			`listen: ParseAddr("localhost"): unable to parse IP`},
		{"no discovery", "discovery", "", "discovery: not an ip:port"},
		{"an admin API without a port", "mgmt", "127.0.0.1", "mgmt: not an ip:port"},
		{"no seed", "seed", "", `seed: strconv.ParseUint: parsing "": invalid syntax`},
		{"a seed that is not hexadecimal", "seed", "zz", `seed: strconv.ParseUint: parsing "zz": invalid syntax`},
		{"no CPU", "limits.cores", 0,
			"limits: cores 0, memory_mb 192, sockets 1024: out of range (24 MB and 64 at least)"},
		{"little memory", "limits.memory_mb", 23,
			"limits: cores 1, memory_mb 23, sockets 1024: out of range (24 MB and 64 at least)"},
		{"few descriptors", "limits.sockets", 63,
			"limits: cores 1, memory_mb 192, sockets 63: out of range (24 MB and 64 at least)"},
		{"an unknown effect", "settings.categories", class("quote", "odd"),
			`settings: categories[0].effect "odd" is unknown`},
		{"a category without a name", "settings.categories", class("", "read_like"),
			"settings: categories[0].name: missing"},
		{"a customer without a name", "settings.customers", []any{object{"name": "acme"}, object{}},
			"settings: customers[1].name: missing"},
		{"max_open", "settings.limits.max_open", -1,
			"settings: limits: a negative max_open, multiplex, dial_timeout_ms or keepalive_ms"},
		{"multiplex", "settings.limits.multiplex", -1,
			"settings: limits: a negative max_open, multiplex, dial_timeout_ms or keepalive_ms"},
		{"dial_timeout_ms", "settings.limits.dial_timeout_ms", -1,
			"settings: limits: a negative max_open, multiplex, dial_timeout_ms or keepalive_ms"},
		{"keepalive_ms", "settings.limits.keepalive_ms", -1,
			"settings: limits: a negative max_open, multiplex, dial_timeout_ms or keepalive_ms"},
	} {
		t.Run(c.name, func(t *testing.T) {
			config := minimalConfig()
			set(config, c.setting, c.value)
			_, err := parse(t, config)
			assert.EqualError(t, err, c.want)
		})
	}
}

func TestKnownEndpointsAreValidated(t *testing.T) {
	config := minimalConfig()
	set(config, "known", object{"members": []any{object{"id": "s", "phase": "ASLEEP"}}})
	_, err := parse(t, config)
	assert.ErrorContains(t, err, "known: ")
	assert.ErrorContains(t, err, `phase "ASLEEP"`)
}

func TestSettingsAreRequired(t *testing.T) {
	config := minimalConfig()
	delete(config, "settings")
	_, err := parse(t, config)
	assert.EqualError(t, err, "settings: missing")
}

func TestSettingsOfTheWrongType(t *testing.T) {
	config := minimalConfig()
	set(config, "settings.areas", 5)
	_, err := parse(t, config)
	assert.ErrorContains(t, err, "settings: json: cannot unmarshal number into Go struct field ")
	assert.ErrorContains(t, err, ".areas of type []string")
}

func TestSettingErrorNamesTheSetting(t *testing.T) {
	config := minimalConfig()
	set(config, "settings.categories", []any{object{"effect": "read_like", "aim_ms": 700, "deadline_ms": 1000}})
	_, err := parse(t, config)
	assert.ErrorIs(t, err, ErrMissing)
	var outer, inner *SettingError
	if assert.True(t, errors.As(err, &outer)) && assert.True(t, errors.As(outer.Err, &inner)) {
		assert.Equal(t, "settings", outer.Setting)
		assert.Equal(t, "categories[0].name", inner.Setting)
	}
}
