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

// file is the JSON form of the configuration. A limit that is omitted is nil.
type file struct {
	Name         string `json:"name"`
	Listen       string `json:"listen"`
	Discovery    string `json:"discovery"`
	AdminAddress string `json:"mgmt"`
	Seed         string `json:"seed"`
	Limits       struct {
		Cores          *float64 `json:"cores"`
		MemoryMB       *int     `json:"memory_mb"`
		MaxDescriptors *int     `json:"sockets"`
	} `json:"limits"`
	KnownEndpoints discovery.EndpointList `json:"known"`
	Settings       json.RawMessage        `json:"settings"`
}

// toConfig returns the configuration without the settings, the seed and the inherited descriptor.
func (f *file) toConfig() *Config {
	return &Config{
		Name:           f.Name,
		Listen:         f.Listen,
		Discovery:      f.Discovery,
		AdminAddress:   f.AdminAddress,
		InheritedFD:    noInheritedFD,
		Cores:          valueOr(f.Limits.Cores, defaultCores),
		MemoryMB:       valueOr(f.Limits.MemoryMB, defaultMemoryMB),
		MaxDescriptors: valueOr(f.Limits.MaxDescriptors, defaultMaxDescriptors),
		KnownEndpoints: f.KnownEndpoints,
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

// platformSettings is the JSON form of the settings that the scheduler does not use. Package simwire decodes those of
// the scheduler. The settings of a class that clients can see are decoded here.
type platformSettings struct {
	Zones   []string          `json:"areas"`
	Classes []category        `json:"categories"`
	Tenants []contract.Tenant `json:"customers"`
	Callers struct {
		MarksRetry bool `json:"marks_retry"`
	} `json:"callers"`
	Domain struct {
		MinCompleteness []float64 `json:"min_share"` // by index of Classes
	} `json:"domain"`
	Limits platformLimits `json:"limits"`
}

// category is the JSON form of a class.
type category struct {
	Name               string  `json:"name"`
	Idempotency        string  `json:"effect"`
	LatencyObjectiveMs float64 `json:"aim_ms"`
	DeadlineMs         float64 `json:"deadline_ms"`
}

// platformLimits is the JSON form of the limits. A limit of 0 stands for its default.
type platformLimits struct {
	MaxOpen              int     `json:"max_open"`
	StreamsPerConnection int     `json:"multiplex"`
	DialTimeoutMs        float64 `json:"dial_timeout_ms"`
	IdleTimeoutMs        float64 `json:"keepalive_ms"`
}

// applySettings decodes and validates the settings and sets the fields of c that come from them.
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
	c.Zones = decoded.Zones
	c.MaxOpen = decoded.Limits.MaxOpen
	c.StreamsPerConnection = nonZeroOr(decoded.Limits.StreamsPerConnection, defaultStreamsPerConnection)
	c.DialTimeoutMs = nonZeroOr(decoded.Limits.DialTimeoutMs, defaultDialTimeoutMs)
	c.IdleTimeoutMs = nonZeroOr(decoded.Limits.IdleTimeoutMs, defaultIdleTimeoutMs)
	c.Contracts = contract.New(decoded.classes(), decoded.Tenants, decoded.Callers.MarksRetry)
	return nil
}

// classes returns the classes as package contract uses them. A class without a min_share needs an answer with all of
// the weight.
func (s *platformSettings) classes() []contract.Class {
	classes := make([]contract.Class, 0, len(s.Classes))
	for i, class := range s.Classes {
		minCompleteness := 1.0
		if i < len(s.Domain.MinCompleteness) {
			minCompleteness = s.Domain.MinCompleteness[i]
		}
		classes = append(classes, contract.Class{
			Name:               class.Name,
			Idempotency:        class.Idempotency,
			LatencyObjectiveMs: class.LatencyObjectiveMs,
			DeadlineMs:         class.DeadlineMs,
			MinCompleteness:    minCompleteness,
		})
	}
	return classes
}

func valueOr[T any](value *T, defaultValue T) T {
	if value == nil {
		return defaultValue
	}
	return *value
}

func nonZeroOr[T int | float64](value, defaultValue T) T {
	if value == 0 {
		return defaultValue
	}
	return value
}

// elementName returns the name of a field of a list element in the settings, as in "categories[0].name".
func elementName(list string, index int, field string) string {
	return fmt.Sprintf("%s[%d].%s", list, index, field)
}
