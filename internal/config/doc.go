// Package config reads the configuration that the platform gives a broker: a JSON file, which BALANCER_CONFIG names,
// and the environment, which overrides some of it. A configuration that cannot be used is rejected whole, with a
// SettingError that has the setting's name.
//
//   - config.go: Config and the ways to read it.
//   - environment.go: the variables of the environment.
//   - settings.go: the platform's JSON, and where its names are mapped to the terms of docs/GLOSSARY.md.
//   - validate.go: which values are rejected.
//
// The platform's settings are read twice: their share for the scheduler by package simwire, which the simulator's
// adapter uses as well, and the rest here. The adapter has no use for the rest and must not reject a site for it, so
// that the two have separate types.
package config
