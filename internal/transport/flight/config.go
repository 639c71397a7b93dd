package flight

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
)

const (
	defaultStreamsPerConnection = 128
	defaultMaxConnections       = 128
)

// Config is the content of deploy/flight.toml or of the operator's file.
type Config struct {
	// Enabled reports whether the front listens. The default is false.
	Enabled bool `toml:"enabled"`
	// Listen is the IP address and port on which the front listens. It is required if Enabled is set.
	Listen string `toml:"listen"`
	// Backends reports whether attempts are sent to backends over Flight instead of as frames. The default is false.
	Backends bool `toml:"nodes"`
	// StreamsPerConnection is the maximum number of calls in flight on one client connection. The default is 128.
	StreamsPerConnection int `toml:"streams"`
	// MaxConnections is the maximum number of client connections. Further ones wait in the listener's queue. The default
	// is 128.
	MaxConnections int `toml:"conns"`
	// MaxBufferedBytes is the maximum size in bytes of the messages of clients that are buffered, with the calls in
	// progress. It follows from the memory limit and is not read from a file.
	MaxBufferedBytes int `toml:"-"`
}

// Defaults sets limits that are 0 to their defaults.
func (c *Config) Defaults() {
	if c.StreamsPerConnection == 0 {
		c.StreamsPerConnection = defaultStreamsPerConnection
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
}

// Load reads a TOML file. If the file does not exist, it returns a Config with Flight off and no error. Unknown keys,
// limits below 1 and, if the front is enabled, an invalid address are errors. Errors name the file.
func Load(path string) (Config, error) {
	config := Config{StreamsPerConnection: defaultStreamsPerConnection, MaxConnections: defaultMaxConnections}
	metadata, err := toml.DecodeFile(path, &config)
	if errors.Is(err, os.ErrNotExist) {
		return Config{}, nil
	}
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if unknown := metadata.Undecoded(); len(unknown) > 0 {
		return Config{}, fmt.Errorf("%s: %s: unknown key", path, unknown[0])
	}
	if config.StreamsPerConnection < 1 || config.MaxConnections < 1 {
		return Config{}, fmt.Errorf("%s: streams is %d and conns is %d: both must be at least 1", path,
			config.StreamsPerConnection, config.MaxConnections)
	}
	if config.Enabled {
		if _, err := netip.ParseAddrPort(config.Listen); err != nil {
			return Config{}, fmt.Errorf("%s: listen: %w", path, err)
		}
	}
	return config, nil
}
