package main

import (
	"os"

	"ternstage/internal/operator"
	"ternstage/internal/transport/flight"
)

// envOperator names the operator's file where the flag --operator does not.
const envOperator = "TERNSTAGE_OPERATOR"

// features is what an installation switches on beside the platform's settings.
type features struct {
	file   *operator.File // never nil; empty without an operator's file
	flight flight.Config
	// flightFromTOML reports whether Flight's section came from its earlier place, flight.toml.
	flightFromTOML bool
}

// loadFeatures reads the operator's file at path or, if path is empty, the one that TERNSTAGE_OPERATOR names. Flight's
// own file is read only if the operator's file has no section for Flight.
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
