// Package operator reads the operator's file: what an installation switches on beside the platform's
// settings. It is Jsonnet, held against api/operator.schema.json, and read only where --operator or
// TERNSTAGE_OPERATOR names it. Without one everything in it is off.
package operator

import (
	"ternstage/api"
	"ternstage/internal/jsonnetfile"
	"ternstage/internal/slicemap"
)

// File is the operator's file.
type File struct {
	Flight   *Flight   `json:"flight"`
	Sharding *Sharding `json:"slices"`
}

// Flight is the Arrow Flight front and back end.
type Flight struct {
	Enabled              bool   `json:"enabled"`
	Listen               string `json:"listen"`
	Backends             bool   `json:"nodes"`
	StreamsPerConnection int    `json:"streams"`
	MaxConnections       int    `json:"conns"`
}

// Sharding says where the map of slices comes from; slices move if it is there.
type Sharding struct {
	Catalogue      string   `json:"catalogue"`
	WatchTimeoutMs *float64 `json:"wait_ms"`
	JitterMs       *float64 `json:"spread_ms"`
	MinIntervalMs  *float64 `json:"rest_ms"`
	MaxAnswerMB       int      `json:"answer_mb"`
	MaxShards      int      `json:"most"`
	MaxVersions    int      `json:"versions"`
	MaxRetired     int      `json:"history"`
	CachePath          string   `json:"cache"`
}

const defaultAnswerMB = 32

// Load reads the file; no path is an empty file.
func Load(path string) (*File, error) {
	f := &File{}
	if path == "" {
		return f, nil
	}
	return f, jsonnetfile.Load(path, api.OperatorSchema, nil, f)
}

// PollerOptions is how the catalogue is followed.
func (s *Sharding) PollerOptions() slicemap.PollerOptions {
	o := slicemap.DefaultPollerOptions
	for _, v := range []struct {
		to   *float64
		from *float64
	}{{&o.WatchTimeoutMs, s.WatchTimeoutMs}, {&o.JitterMs, s.JitterMs}, {&o.MinIntervalMs, s.MinIntervalMs}} {
		if v.from != nil {
			*v.to = *v.from
		}
	}
	return o
}

// MaxAnswerBytes bounds an answer of the catalogue.
func (s *Sharding) MaxAnswerBytes() int {
	if s.MaxAnswerMB == 0 {
		return defaultAnswerMB << 20
	}
	return s.MaxAnswerMB << 20
}
