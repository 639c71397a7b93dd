package operator

import (
	"ternstage/api"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/jsonnetfile"
)

const (
	defaultMaxAnswerMB = 32
	bytesPerMB         = 1 << 20
)

// File is the content of the operator's file.
type File struct {
	// Flight configures Arrow Flight; nil, the default, leaves it to flight.toml.
	Flight *Flight `json:"flight"`
	// Sharding enables resharding; nil, the default, for a fixed placement.
	Sharding *Sharding `json:"slices"`
}

// Flight is the section for Arrow Flight.
type Flight struct {
	// Enabled opens the Flight front for clients; false by default.
	Enabled bool `json:"enabled"`
	// Listen is the address of the Flight front, "HOST:PORT" with a numeric host. Required if Enabled.
	Listen string `json:"listen"`
	// Backends selects Flight in place of frames as the protocol to the backends; false by default.
	Backends bool `json:"nodes"`
	// StreamsPerConnection is the limit of concurrent calls on one connection of a client; 0, the default, stands for
	// the default of package flight.
	StreamsPerConnection int `json:"streams"`
	// MaxConnections is the limit of concurrent connections of Flight clients; 0, the default, stands for the default
	// of package flight.
	MaxConnections int `json:"conns"`
}

// Sharding is the section for resharding: how the broker follows the shard catalogue. A nil field stands for the
// default in shardmap.DefaultPollerOptions.
type Sharding struct {
	// Catalogue is the address of the shard catalogue, "HOST:PORT" with a numeric host. Required.
	Catalogue string `json:"catalogue"`
	// WatchTimeoutMs is the time in milliseconds for which one watch call may wait for a change.
	WatchTimeoutMs *float64 `json:"wait_ms"`
	// JitterMs is the maximum random delay in milliseconds of a poll that is caused by a hint of a newer epoch.
	JitterMs *float64 `json:"spread_ms"`
	// MinIntervalMs is the minimum time in milliseconds between two such polls.
	MinIntervalMs *float64 `json:"rest_ms"`
	// MaxAnswerMB is the maximum size of an answer of the catalogue in units of 2^20 bytes; 0, the default, stands for
	// 32.
	MaxAnswerMB int `json:"answer_mb"`
	// MaxShards is the maximum number of shards in a map; 0, the default, stands for shardmap.DefaultMaxShards.
	MaxShards int `json:"most"`
	// MaxVersions is the maximum number of versions of the map that are retained for requests; 0, the default, stands
	// for shardmap.DefaultMaxVersions.
	MaxVersions int `json:"versions"`
	// MaxRetired is the maximum number of retired shards whose ids can be resolved; 0, the default, stands for
	// shardmap.DefaultMaxRetired.
	MaxRetired int `json:"history"`
	// CachePath is the path of the file that stores the last map for the next process; "", the default, for none.
	CachePath string `json:"cache"`
}

// Load reads and validates the file at path. For an empty path it returns an empty File. Errors are those of
// jsonnetfile.Load.
func Load(path string) (*File, error) {
	file := &File{}
	if path == "" {
		return file, nil
	}
	if err := jsonnetfile.Load(path, api.OperatorSchema, nil, file); err != nil {
		return nil, err
	}
	return file, nil
}

// PollerOptions returns the options for polling the shard catalogue, with defaults for the fields that are not set.
func (s *Sharding) PollerOptions() shardmap.PollerOptions {
	options := shardmap.DefaultPollerOptions
	overrideOption(&options.WatchTimeoutMs, s.WatchTimeoutMs)
	overrideOption(&options.JitterMs, s.JitterMs)
	overrideOption(&options.MinIntervalMs, s.MinIntervalMs)
	return options
}

func overrideOption(option, value *float64) {
	if value != nil {
		*option = *value
	}
}

// MaxAnswerBytes returns MaxAnswerMB, or its default, in bytes.
func (s *Sharding) MaxAnswerBytes() int {
	if s.MaxAnswerMB == 0 {
		return defaultMaxAnswerMB * bytesPerMB
	}
	return s.MaxAnswerMB * bytesPerMB
}
