package config

import (
	"encoding/json"
	"fmt"
	"os"

	"ternstage/internal/contract"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/transport/discovery"
)

// Defaults of the settings that the platform may omit.
const (
	defaultCores                = 1
	defaultMemoryMB             = 192
	defaultMaxDescriptors       = 1024
	defaultStreamsPerConnection = 32
	defaultDialTimeoutMs        = 250
	defaultIdleTimeoutMs        = 30_000

	// noInheritedFD is the Config.InheritedFD of a process that opens its listener itself.
	noInheritedFD = -1
)

// Config is the configuration of one broker. Each field names its setting in parentheses.
type Config struct {
	// Name is the name of the broker, the same after a restart (name). Required.
	Name string
	// Listen is the address for HTTP clients, "HOST:PORT" with a numeric host (listen). Required.
	Listen string
	// Discovery is the address of discovery, "HOST:PORT" with a numeric host (discovery). Required.
	Discovery string
	// AdminAddress is the address of the admin API, "HOST:PORT" with a numeric host (mgmt); "", the default, for none.
	AdminAddress string
	// InheritedFD is the descriptor of a listener for clients that the process was started with
	// (BALANCER_INHERITED_FD); -1, the default, for none.
	InheritedFD int
	// Seed seeds all random choices (seed, in hexadecimal). Required.
	Seed uint64
	// Cores is the number of CPUs that the process may use, with fractions (limits.cores); 1 by default.
	Cores float64
	// MemoryMB is the memory limit in units of 2^20 bytes (limits.memory_mb); 192 by default, 24 at least.
	MemoryMB int
	// MaxDescriptors is the number of file descriptors that the process may have open (limits.sockets); 1024 by
	// default, 64 at least.
	MaxDescriptors int
	// KnownEndpoints is the last endpoint list that this broker had, which may be out of date (known); empty by
	// default.
	KnownEndpoints discovery.EndpointList
	// Zones are the names of the zones; a zone's number is its index (settings.areas).
	Zones []string
	// Scheduler holds the settings of the scheduler (settings).
	Scheduler scheduler.Settings
	// Contracts holds the classes and tenants that clients may name (settings.categories, settings.customers).
	Contracts *contract.Contracts
	// DecodedSettings holds the decoded JSON of all settings, known or not, to compare configurations (settings).
	DecodedSettings any

	// MaxOpen is the limit of open requests plus their parts, beyond which requests are rejected
	// (settings.limits.max_open); 0, the default, for no limit.
	MaxOpen int
	// StreamsPerConnection is the limit of calls in flight on one connection to a backend
	// (settings.limits.multiplex); 32 by default.
	StreamsPerConnection int
	// DialTimeoutMs is the time limit in milliseconds for connecting to a backend
	// (settings.limits.dial_timeout_ms); 250 by default.
	DialTimeoutMs float64
	// IdleTimeoutMs is the time in milliseconds after which a backend closes an idle connection
	// (settings.limits.keepalive_ms); 30000 by default.
	IdleTimeoutMs float64
}

// Load reads the file that BALANCER_CONFIG names. BALANCER_NAME, BALANCER_LISTEN, BALANCER_DISCOVERY and
// BALANCER_MGMT override values of the file. It returns ErrNotConfigured if BALANCER_CONFIG is not set.
func Load() (*Config, error) { return load(false) }

// Reload reads the file again, for a process that serves. The environment dates from the start of the process, so an
// address of discovery in the file takes precedence over BALANCER_DISCOVERY.
func Reload() (*Config, error) { return load(true) }

func load(isReload bool) (*Config, error) {
	path := os.Getenv(envConfig)
	if path == "" {
		return nil, ErrNotConfigured
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, settingError(envConfig, err)
	}
	return Parse(text, os.Getenv, isReload)
}

// Parse decodes and validates the text of a configuration. env looks up an environment variable and returns "" for
// one that is not set; isReload has the effect described at Reload. Errors about a value are SettingErrors.
func Parse(text []byte, env func(string) string, isReload bool) (*Config, error) {
	var decoded file
	if err := json.Unmarshal(text, &decoded); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	decoded.override(env, isReload)
	c := decoded.toConfig()
	if err := c.validateNames(); err != nil {
		return nil, err
	}
	var err error
	c.InheritedFD, err = inheritedFD(env)
	if err != nil {
		return nil, err
	}
	c.Seed, err = parseSeed(decoded.Seed)
	if err != nil {
		return nil, err
	}
	if err := c.validateLimits(); err != nil {
		return nil, err
	}
	if err := c.KnownEndpoints.Validate(); err != nil {
		return nil, settingError("known", err)
	}
	if err := c.applySettings(decoded.Settings); err != nil {
		return nil, err
	}
	return c, nil
}
