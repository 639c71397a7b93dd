// Package experiments holds the experiments that emulator knows without a file.
package experiments

import _ "embed"

// Up is what emulator up plays: a small fleet under some load, whose slices change now and then.
//
//go:embed up.jsonnet
var Up string

// Zones is the deployment of several zones whose list is pushed; tests play it with scripts of their own.
//
//go:embed zones.jsonnet
var Zones string

// Mass is hundreds of brokers before a large fleet of which most is replaced at once.
//
//go:embed mass.jsonnet
var Mass string
