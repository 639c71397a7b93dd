package main

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/operator"
	"ternstage/internal/transport/flight"
)

func TestFlightConfig(t *testing.T) {
	assert.Equal(t, flight.Config{StreamsPerConnection: 128, MaxConnections: 128}, flightConfig(&operator.Flight{}),
		"the defaults")
	assert.Equal(t, flight.Config{Enabled: true, Listen: "127.0.0.1:1", Backends: true, StreamsPerConnection: 2,
		MaxConnections: 3}, flightConfig(&operator.Flight{Enabled: true, Listen: "127.0.0.1:1", Backends: true,
		StreamsPerConnection: 2, MaxConnections: 3}))
}

func TestFlightIsOffUnlessEnabled(t *testing.T) {
	b := &broker{features: &features{}}
	assert.NoError(t, b.listenFlight())
	assert.Nil(t, b.flightFront)
}
