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

// File is the operator's file.
type File struct {
	// Flight switches on Arrow Flight; nil, the default, leaves it to flight.toml.
	Flight *Flight `json:"flight"`
	// Sharding switches on resharding; nil, the default, for a fixed placement.
	Sharding *Sharding `json:"slices"`
}

// Flight is the section for Arrow Flight.
type Flight struct {
	// Enabled opens the front for Flight clients; false by default.
	Enabled bool `json:"enabled"`
	// Listen is the front's address, "HOST:PORT" with a numeric host. Required if Enabled.
	Listen string `json:"listen"`
	// Backends has the backends asked over Flight in place of frames; false by default.
	Backends bool `json:"nodes"`
	// StreamsPerConnection is the number of calls at a time on one connection of a client; 0, the default, stands for
	// the default of package flight.
	StreamsPerConnection int `json:"streams"`
	// MaxConnections is the number of connections of Flight clients at a time; 0, the default, stands for the default
	// of package flight.
	MaxConnections int `json:"conns"`
}

// Sharding is the section for resharding: how the shard catalogue is followed. nil stands for the default in
// shardmap.DefaultPollerOptions.
type Sharding struct {
	// Catalogue is the address of the shard catalogue, "HOST:PORT" with a numeric host. Required.
	Catalogue string `json:"catalogue"`
	// WatchTimeoutMs is the time in milliseconds for which one watch call may wait.
	WatchTimeoutMs *float64 `json:"wait_ms"`
	// JitterMs is the longest random delay in milliseconds of a poll that a hint of a newer epoch causes.
	JitterMs *float64 `json:"spread_ms"`
	// MinIntervalMs is the least time in milliseconds between two such polls.
	MinIntervalMs *float64 `json:"rest_ms"`
	// MaxAnswerMB bounds one answer of the catalogue, in units of 2^20 bytes; 0, the default, stands for 32.
	MaxAnswerMB int `json:"answer_mb"`
	// MaxShards bounds the shards of one map; 0, the default, stands for shardmap.DefaultMaxShards.
	MaxShards int `json:"most"`
	// MaxVersions bounds the versions of the map that are retained for queries; 0, the default, stands for
	// shardmap.DefaultMaxVersions.
	MaxVersions int `json:"versions"`
	// MaxRetired bounds the retired shards whose ids can be resolved; 0, the default, stands for
	// shardmap.DefaultMaxRetired.
	MaxRetired int `json:"history"`
	// CachePath is a file that outlives the process and stores the last map; "", the default, for none.
	CachePath string `json:"cache"`
}

// Load reads and validates the file at path. An empty path stands for an empty file. Errors are those of package
// jsonnetfile.
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

// PollerOptions returns how the shard catalogue is polled.
func (s *Sharding) PollerOptions() shardmap.PollerOptions {
	options := shardmap.DefaultPollerOptions
	override(&options.WatchTimeoutMs, s.WatchTimeoutMs)
	override(&options.JitterMs, s.JitterMs)
	override(&options.MinIntervalMs, s.MinIntervalMs)
	return options
}

func override(option, value *float64) {
	if value != nil {
		*option = *value
	}
}

// MaxAnswerBytes returns MaxAnswerMB in bytes.
func (s *Sharding) MaxAnswerBytes() int {
	if s.MaxAnswerMB == 0 {
		return defaultMaxAnswerMB * bytesPerMB
	}
	return s.MaxAnswerMB * bytesPerMB
}
