package main

import (
	"errors"
	"io/fs"
	"os"

	"ternstage/internal/operator"
	"ternstage/internal/transport/flight"
)

const (
	// defaultFlightFile is the file of Flight's settings, relative to the working directory.
	defaultFlightFile = "deploy/flight.toml"
	// envFlight names it if it is elsewhere.
	envFlight = "TERNSTAGE_FLIGHT"
)

// flightConfig maps the operator's section for Flight, with the defaults for what it leaves out.
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

// loadFlightTOML reads Flight's own file and reports whether there is one. Without one Flight is off.
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

// listenFlight opens the front for Flight clients, if it is switched on.
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
