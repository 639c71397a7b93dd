package flight

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"github.com/BurntSushi/toml"
)

// Config is what the file says.
type Config struct {
	Enabled              bool   `toml:"enabled"` // the front listens
	Listen               string `toml:"listen"`  // where it listens
	Backends             bool   `toml:"nodes"`   // rate nodes are asked over Flight in place of frames
	StreamsPerConnection int    `toml:"streams"` // calls of one client connection at a time
	MaxConnections       int    `toml:"conns"`   // client connections at a time
}

const (
	defaultStreamsPerConnection = 128
	defaultMaxConnections       = 128
)

// Defaults fills in what the operators left out.
func (c *Config) Defaults() {
	if c.StreamsPerConnection == 0 {
		c.StreamsPerConnection = defaultStreamsPerConnection
	}
	if c.MaxConnections == 0 {
		c.MaxConnections = defaultMaxConnections
	}
}

// Load reads the file; one that is not there leaves Flight off.
func Load(path string) (Config, error) {
	c := Config{StreamsPerConnection: defaultStreamsPerConnection, MaxConnections: defaultMaxConnections}
	m, err := toml.DecodeFile(path, &c)
	if errors.Is(err, os.ErrNotExist) {
		return Config{}, nil
	}
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	if odd := m.Undecoded(); len(odd) > 0 {
		return Config{}, fmt.Errorf("%s: %s: unknown key", path, odd[0])
	}
	if c.StreamsPerConnection < 1 || c.MaxConnections < 1 {
		return Config{}, fmt.Errorf("%s: streams and conns: %d and %d, 1 at least", path, c.StreamsPerConnection, c.MaxConnections)
	}
	if c.Enabled {
		if _, err := netip.ParseAddrPort(c.Listen); err != nil {
			return Config{}, fmt.Errorf("%s: listen: %w", path, err)
		}
	}
	return c, nil
}
