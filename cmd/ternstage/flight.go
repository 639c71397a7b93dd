package main

import (
	"errors"
	"fmt"
	"io/fs"
	"net"
	"os"

	"go.uber.org/zap"

	"ternstage/internal/control/listenerhandover"
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
	listener, err := b.openFlightListener()
	if err != nil {
		return fmt.Errorf("flight: %w", err)
	}
	b.flightFront = flight.NewFront(listener, b.features.flight, b.loop, b.core, b.config.Contracts, b.log)
	return nil
}

// openFlightListener opens the listener for Flight clients. The platform keeps only that of HTTP clients over an
// upgrade. Where it does, the processes of the broker pass on the one for Flight among themselves.
func (b *broker) openFlightListener() (*net.TCPListener, error) {
	address := b.features.flight.Listen
	if !b.inheritsListener() {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return nil, err
		}
		return listener.(*net.TCPListener), nil
	}
	listener, taken, err := listenerhandover.Listen(os.TempDir(), address)
	if err != nil {
		return nil, err
	}
	offer, err := listenerhandover.NewOffer(os.TempDir(), listener)
	if err != nil {
		b.log.Warn("Flight listener is not offered to a successor", zap.Error(err))
		return listener, nil
	}
	b.flightOffer = offer
	b.onClose(offer.Close)
	b.log.Info("Flight listener is offered to a successor", zap.Bool("taken_over", taken))
	return listener, nil
}
