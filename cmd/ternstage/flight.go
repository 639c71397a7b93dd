package main

import (
	"errors"
	"io/fs"
	"os"

	"ternstage/internal/operator"
	"ternstage/internal/transport/flight"
)

const (
	// defaultFlightFile is the path of flight.toml, relative to the working directory.
	defaultFlightFile = "deploy/flight.toml"
	// envFlight is the environment variable that names another path.
	envFlight = "TERNSTAGE_FLIGHT"
)

// flightConfig maps the section for Flight of the operator's file and adds the defaults for missing settings.
func flightConfig(section *operator.Flight) flight.Config {
	config := flight.Config{
		Enabled:              section.Enabled,
		Listen:               section.Listen,
		Backends:             section.Backends,
		StreamsPerConnection: section.StreamsPerConnection,
		MaxConnections:       section.MaxConnections,
	}
	config.Defaults()
	return config
}

// loadFlightTOML reads flight.toml and reports whether there is such a file. Without it, Flight is disabled.
func loadFlightTOML() (config flight.Config, found bool, err error) {
	path := os.Getenv(envFlight)
	if path == "" {
		path = defaultFlightFile
	}
	_, err = os.Stat(path)
	found = !errors.Is(err, fs.ErrNotExist)
	config, err = flight.Load(path)
	return config, found, err
}

// listenFlight opens the front for Flight clients, if it is enabled.
func (b *broker) listenFlight() error {
	if !b.features.flight.Enabled {
		return nil
	}
	front, err := flight.Listen(b.features.flight, b.loop, b.core, b.config.Contracts, b.log)
	if err != nil {
		return err
	}
	b.flightFront = front
	return nil
}
