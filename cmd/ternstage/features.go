package main

import (
	"os"

	"ternstage/internal/operator"
	"ternstage/internal/transport/flight"
)

// envOperator is the environment variable that names the operator's file if the flag --operator is not used.
const envOperator = "TERNSTAGE_OPERATOR"

// features holds the optional features that an installation enables in addition to the platform's settings.
type features struct {
	file   *operator.File // never nil; empty without an operator's file
	flight flight.Config
	// flightFromTOML reports whether flight was read from flight.toml, which the operator's file replaces.
	flightFromTOML bool
}

// loadFeatures reads the operator's file at path or, if path is empty, the one that TERNSTAGE_OPERATOR names.
// flight.toml is read only if the operator's file has no section for Flight.
func loadFeatures(path string) (*features, error) {
	if path == "" {
		path = os.Getenv(envOperator)
	}
	file, err := operator.Load(path)
	if err != nil {
		return nil, err
	}
	enabled := &features{file: file}
	if file.Flight != nil {
		enabled.flight = flightConfig(file.Flight)
		return enabled, nil
	}
	enabled.flight, enabled.flightFromTOML, err = loadFlightTOML()
	return enabled, err
}
