// Package config reads what the platform tells a broker. What cannot be is named and refused at the start.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"strconv"

	"ternstage/internal/contract"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/discovery"
	"ternstage/internal/wire"
)

// Config is all that a broker is told.
type Config struct {
	Name           string
	Listen         string
	Discovery      string
	AdminAddress   string // the admin API, "" for none
	InheritedFD    int    // the clients' listener that the process was given, -1 for none
	Seed           uint64
	Cores          float64
	MemoryMB       int
	MaxDescriptors int
	KnownEndpoints discovery.List
	Zones          []string
	Scheduler      scheduler.Settings
	Contracts      *contract.Contracts
	Settings       any // as written, to tell one configuration from another

	MaxOpen              int
	StreamsPerConnection int
	DialTimeoutMs          float64
	IdleTimeoutMs            float64
}

type file struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Mgmt      string `json:"mgmt"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    *float64 `json:"cores"`
		MemoryMB *int     `json:"memory_mb"`
		Sockets  *int     `json:"sockets"`
	} `json:"limits"`
	Known    discovery.List  `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// settings is what the module has no use for and the program has.
type settings struct {
	Areas      []string `json:"areas"`
	Categories []struct {
		Name     string  `json:"name"`
		Effect   string  `json:"effect"`
		Aim      float64 `json:"aim_ms"`
		Deadline float64 `json:"deadline_ms"`
	} `json:"categories"`
	Customers []contract.Tenant `json:"customers"`
	Callers   struct {
		Marks bool `json:"marks_retry"`
	} `json:"callers"`
	Domain struct {
		MinShare []float64 `json:"min_share"`
	} `json:"domain"`
	Limits struct {
		MaxOpen     int     `json:"max_open"`
		Multiplex   int     `json:"multiplex"`
		DialTimeout float64 `json:"dial_timeout_ms"`
		KeepAlive   float64 `json:"keepalive_ms"`
	} `json:"limits"`
}

// The values where the platform states none.
const (
	defaultCores       = 1
	defaultMemoryMB    = 192
	defaultSockets     = 1024
	defaultStreams     = 32
	defaultDialTimeout = 250
	defaultKeepAlive   = 30_000
	leastMemoryMB      = 24 // below, the program's own text and tables leave no room
	leastSockets       = 64
)

// ErrNotConfigured tells that no configuration is named.
var ErrNotConfigured = errors.New("BALANCER_CONFIG: missing")

const (
	envDiscovery = "BALANCER_DISCOVERY"
	envInherited = "BALANCER_INHERITED_FD" // the descriptor of a listener for clients that the platform keeps
)

// Load reads the file that BALANCER_CONFIG names; BALANCER_NAME, _LISTEN and _DISCOVERY override it.
func Load() (*Config, error) { return load(false) }

// Reload reads the file again. The environment is that of the start: what the file says of discovery is
// newer.
func Reload() (*Config, error) { return load(true) }

func load(again bool) (*Config, error) {
	path := os.Getenv("BALANCER_CONFIG")
	if path == "" {
		return nil, ErrNotConfigured
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("BALANCER_CONFIG: %w", err)
	}
	return Parse(text, os.Getenv, again)
}

// Parse reads the configuration's text; again tells that it is read once more, by a program that runs.
func Parse(text []byte, env func(string) string, again bool) (*Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("configuration: %w", err)
	}
	for _, v := range []struct {
		name string
		to   *string
	}{{"BALANCER_NAME", &f.Name}, {"BALANCER_LISTEN", &f.Listen}, {envDiscovery, &f.Discovery},
		{"BALANCER_MGMT", &f.Mgmt}} {
		if s := env(v.name); s != "" && !(again && v.name == envDiscovery && f.Discovery != "") {
			*v.to = s
		}
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, AdminAddress: f.Mgmt, InheritedFD: -1,
		KnownEndpoints: f.Known,
		Cores:          or(f.Limits.Cores, defaultCores), MemoryMB: or(f.Limits.MemoryMB, defaultMemoryMB),
		MaxDescriptors: or(f.Limits.Sockets, defaultSockets)}
	if c.Name == "" {
		return nil, errors.New("name: missing")
	}
	for _, a := range [][2]string{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, err := netip.ParseAddrPort(a[1]); err != nil {
			return nil, fmt.Errorf("%s: %w", a[0], err)
		}
	}
	if c.AdminAddress != "" {
		if _, err := netip.ParseAddrPort(c.AdminAddress); err != nil {
			return nil, fmt.Errorf("mgmt: %w", err)
		}
	}
	if text := env(envInherited); text != "" {
		n, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return nil, fmt.Errorf("%s: %q is no descriptor: %w", envInherited, text, err)
		}
		c.InheritedFD = int(n)
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if !(c.Cores > 0) || math.IsInf(c.Cores, 0) || c.MemoryMB < leastMemoryMB || c.MaxDescriptors < leastSockets {
		return nil, fmt.Errorf("limits: cores %v, memory_mb %d, sockets %d: out of range (%d MB and %d at least)",
			c.Cores, c.MemoryMB, c.MaxDescriptors, leastMemoryMB, leastSockets)
	}
	if err := c.KnownEndpoints.Check(); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	return c, c.settings(f.Settings)
}

func (c *Config) settings(text json.RawMessage) error {
	if len(text) == 0 {
		return errors.New("settings: missing")
	}
	var err error
	if c.Scheduler, err = wire.ParseSettings(text); err != nil {
		return err
	}
	var s settings
	if err := errors.Join(json.Unmarshal(text, &s), json.Unmarshal(text, &c.Settings)); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	l := s.Limits
	if l.MaxOpen < 0 || l.Multiplex < 0 || !(l.DialTimeout >= 0) || !(l.KeepAlive >= 0) {
		return errors.New("settings: limits: a negative max_open, multiplex, dial_timeout_ms or keepalive_ms")
	}
	c.Zones, c.MaxOpen, c.StreamsPerConnection = s.Areas, l.MaxOpen, max(l.Multiplex, 0)
	c.DialTimeoutMs, c.IdleTimeoutMs = l.DialTimeout, l.KeepAlive
	if c.StreamsPerConnection == 0 {
		c.StreamsPerConnection = defaultStreams
	}
	if c.DialTimeoutMs == 0 {
		c.DialTimeoutMs = defaultDialTimeout
	}
	if c.IdleTimeoutMs == 0 {
		c.IdleTimeoutMs = defaultKeepAlive
	}
	classes := make([]contract.Class, 0, len(s.Categories))
	for i, k := range s.Categories {
		if k.Name == "" {
			return fmt.Errorf("settings: categories[%d].name: missing", i)
		}
		share := 1.0
		if i < len(s.Domain.MinShare) {
			share = s.Domain.MinShare[i]
		}
		classes = append(classes, contract.Class{Name: k.Name, Idempotency: k.Effect, LatencyObjectiveMs: k.Aim,
			DeadlineMs: k.Deadline, MinCompleteness: share})
	}
	for i, t := range s.Customers {
		if t.Name == "" {
			return fmt.Errorf("settings: customers[%d].name: missing", i)
		}
	}
	c.Contracts = contract.New(classes, s.Customers, s.Callers.Marks)
	return nil
}

func or[T any](v *T, absent T) T {
	if v == nil {
		return absent
	}
	return *v
}
