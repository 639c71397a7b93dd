package config

import (
	"fmt"
	"strconv"
)

// Environment variables.
const (
	envConfig      = "BALANCER_CONFIG" // path of the configuration file
	envName        = "BALANCER_NAME"
	envListen      = "BALANCER_LISTEN"
	envDiscovery   = "BALANCER_DISCOVERY"
	envMgmt        = "BALANCER_MGMT"
	envInheritedFD = "BALANCER_INHERITED_FD"
)

// override replaces values of the file by those of the environment. On a reload, the address of discovery in the file
// is newer than the one in the environment and stays.
func (f *file) override(env func(string) string, isReload bool) {
	overrideString(&f.Name, env(envName))
	overrideString(&f.Listen, env(envListen))
	if !isReload || f.Discovery == "" {
		overrideString(&f.Discovery, env(envDiscovery))
	}
	overrideString(&f.AdminAddress, env(envMgmt))
}

func overrideString(setting *string, value string) {
	if value != "" {
		*setting = value
	}
}

// inheritedFD returns the descriptor in BALANCER_INHERITED_FD, or noInheritedFD if the variable is not set.
func inheritedFD(env func(string) string) (int, error) {
	text := env(envInheritedFD)
	if text == "" {
		return noInheritedFD, nil
	}
	const bits = 31 // a descriptor is a non-negative int32
	fd, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return noInheritedFD, settingError(envInheritedFD, fmt.Errorf("%q is no descriptor: %w", text, err))
	}
	return int(fd), nil
}
