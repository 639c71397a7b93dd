// Package api holds the descriptions that the programs check their input against.
package api

import _ "embed"

// OperatorSchema is the JSON Schema of the operator's file.
//
//go:embed operator.schema.json
var OperatorSchema string

// ExperimentSchema is the JSON Schema of the lab's experiments.
//
//go:embed experiment.schema.json
var ExperimentSchema string
