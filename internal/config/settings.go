package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"ternstage/internal/contract"
	"ternstage/internal/transport/discovery"
	"ternstage/internal/transport/simwire"
)

// file mirrors the configuration's JSON. nil stands for a limit that is left out.
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
	Known    discovery.EndpointList `json:"known"`
	Settings json.RawMessage        `json:"settings"`
}

// config maps the file, except for the settings and what has to be parsed.
func (f *file) config() *Config {
	return &Config{
		Name:           f.Name,
		Listen:         f.Listen,
		Discovery:      f.Discovery,
		AdminAddress:   f.Mgmt,
		InheritedFD:    noInheritedFD,
		Cores:          valueOr(f.Limits.Cores, defaultCores),
		MemoryMB:       valueOr(f.Limits.MemoryMB, defaultMemoryMB),
		MaxDescriptors: valueOr(f.Limits.Sockets, defaultMaxDescriptors),
		KnownEndpoints: f.Known,
	}
}

// parseSeed parses the seed, up to 16 hexadecimal digits.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, settingError("seed", err)
	}
	return seed, nil
}

// platformSettings mirrors the JSON of those settings that the scheduler has no use for. The scheduler's are in
// package simwire; the class settings here are those that clients can see.
type platformSettings struct {
	Areas      []string          `json:"areas"`
	Categories []category        `json:"categories"`
	Customers  []contract.Tenant `json:"customers"`
	Callers    struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"callers"`
	Domain struct {
		MinShare []float64 `json:"min_share"` // by index of Categories
	} `json:"domain"`
	Limits platformLimits `json:"limits"`
}

type category struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	AimMs      float64 `json:"aim_ms"`
	DeadlineMs float64 `json:"deadline_ms"`
}

// platformLimits holds limits of which 0 stands for the default.
type platformLimits struct {
	MaxOpen       int     `json:"max_open"`
	Multiplex     int     `json:"multiplex"`
	DialTimeoutMs float64 `json:"dial_timeout_ms"`
	KeepaliveMs   float64 `json:"keepalive_ms"`
}

// applySettings decodes, validates and maps the settings.
func (c *Config) applySettings(text json.RawMessage) error {
	if len(text) == 0 {
		return settingError("settings", ErrMissing)
	}
	var err error
	c.Scheduler, err = simwire.ParseSettings(text)
	if err != nil {
		return err
	}
	var decoded platformSettings
	err = errors.Join(json.Unmarshal(text, &decoded), json.Unmarshal(text, &c.DecodedSettings))
	if err != nil {
		return settingError("settings", err)
	}
	if err := decoded.validate(); err != nil {
		return settingError("settings", err)
	}
	c.Zones = decoded.Areas
	c.MaxOpen = decoded.Limits.MaxOpen
	c.StreamsPerConnection = nonZeroOr(decoded.Limits.Multiplex, defaultStreamsPerConnection)
	c.DialTimeoutMs = nonZeroOr(decoded.Limits.DialTimeoutMs, defaultDialTimeoutMs)
	c.IdleTimeoutMs = nonZeroOr(decoded.Limits.KeepaliveMs, defaultIdleTimeoutMs)
	c.Contracts = contract.New(decoded.classes(), decoded.Customers, decoded.Callers.MarksRetry)
	return nil
}

// classes maps the categories. One without a min_share has to be answered with all of its weight.
func (s *platformSettings) classes() []contract.Class {
	classes := make([]contract.Class, 0, len(s.Categories))
	for i, category := range s.Categories {
		minCompleteness := 1.0
		if i < len(s.Domain.MinShare) {
			minCompleteness = s.Domain.MinShare[i]
		}
		classes = append(classes, contract.Class{
			Name:               category.Name,
			Idempotency:        category.Effect,
			LatencyObjectiveMs: category.AimMs,
			DeadlineMs:         category.DeadlineMs,
			MinCompleteness:    minCompleteness,
		})
	}
	return classes
}

func valueOr[T any](value *T, absent T) T {
	if value == nil {
		return absent
	}
	return *value
}

func nonZeroOr[T int | float64](value, absent T) T {
	if value == 0 {
		return absent
	}
	return value
}

// elementName names a member of a list in the settings, as in "categories[0].name".
func elementName(list string, index int, member string) string {
	return fmt.Sprintf("%s[%d].%s", list, index, member)
}
