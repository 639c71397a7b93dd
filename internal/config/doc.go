// Package config reads the configuration that the platform gives a broker: a JSON file, which BALANCER_CONFIG names,
// and environment variables, which override some of it. An invalid value rejects the configuration as a whole, with a
// SettingError that names the setting.
//
//   - config.go: Config, and how it is read from the file and from text.
//   - environment.go: the environment variables.
//   - settings.go: the platform's JSON, whose names are mapped here to the terms of docs/GLOSSARY.md.
//   - validate.go: which values are rejected.
//
// The platform's settings are decoded twice: those of the scheduler by package simwire, which the adapter of the
// simulator uses as well, and the others here. The types are separate because the adapter does not use the others and
// must not reject a configuration because of them.
package config
