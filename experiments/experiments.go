// Package experiments embeds the experiments that the emulator and tests use without a file.
package experiments

import _ "embed"

// Up is the experiment of `emulator up`: a small fleet under light load whose shard map changes every few seconds.
//
//go:embed up.jsonnet
var Up string

// Zones is a deployment of three zones whose endpoint list is pushed to agents. Tests run it with their own scripts.
//
//go:embed zones.jsonnet
var Zones string

// Mass is a large fleet with hundreds of brokers, most of whose backends are replaced within seconds.
//
//go:embed mass.jsonnet
var Mass string
