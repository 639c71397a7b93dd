package config

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
)

const (
	// minMemoryMB leaves memory beside the program's code and tables.
	minMemoryMB = 24
	// minDescriptors leaves descriptors for connections of clients and backends.
	minDescriptors = 64
)

var (
	// ErrNotConfigured reports that BALANCER_CONFIG is not set.
	ErrNotConfigured = errors.New(envConfig + ": missing")
	// ErrMissing reports that a required setting is missing or empty.
	ErrMissing = errors.New("missing")

	errNegativeLimit = errors.New("a negative max_open, multiplex, dial_timeout_ms or keepalive_ms")
)

// SettingError reports that the value of a setting cannot be used.
type SettingError struct {
	// Setting is the platform's name of the setting, or the name of the environment variable. For a setting within
	// another, it names the outer one and Err is a SettingError of the inner one.
	Setting string
	// Err is the problem with the value.
	Err error
}

// Error names the setting and the problem.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Err.Error() }

// Unwrap returns the problem.
func (e *SettingError) Unwrap() error { return e.Err }

func settingError(setting string, err error) error { return &SettingError{Setting: setting, Err: err} }

// validateNames checks the broker's name and the addresses.
func (c *Config) validateNames() error {
	if c.Name == "" {
		return settingError("name", ErrMissing)
	}
	if err := validateAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := validateAddress("discovery", c.Discovery); err != nil {
		return err
	}
	if c.AdminAddress == "" {
		return nil
	}
	return validateAddress("mgmt", c.AdminAddress)
}

func validateAddress(setting, address string) error {
	if _, err := netip.ParseAddrPort(address); err != nil {
		return settingError(setting, err)
	}
	return nil
}

func (c *Config) validateLimits() error {
	coresInRange := c.Cores > 0 && !math.IsInf(c.Cores, 0)
	if !coresInRange || c.MemoryMB < minMemoryMB || c.MaxDescriptors < minDescriptors {
		return settingError("limits", fmt.Errorf(
			"cores %v, memory_mb %d, sockets %d: out of range (%d MB and %d at least)",
			c.Cores, c.MemoryMB, c.MaxDescriptors, minMemoryMB, minDescriptors))
	}
	return nil
}

// validate checks the values that package simwire and the scheduler do not check.
func (s *platformSettings) validate() error {
	limits := s.Limits
	if limits.MaxOpen < 0 || limits.StreamsPerConnection < 0 || limits.DialTimeoutMs < 0 || limits.IdleTimeoutMs < 0 {
		return settingError("limits", errNegativeLimit)
	}
	for i, class := range s.Classes {
		if class.Name == "" {
			return settingError(elementName("categories", i, "name"), ErrMissing)
		}
	}
	for i, tenant := range s.Tenants {
		if tenant.Name == "" {
			return settingError(elementName("customers", i, "name"), ErrMissing)
		}
	}
	return nil
}
