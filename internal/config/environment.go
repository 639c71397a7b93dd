package config

import (
	"fmt"
	"strconv"
)

// Variables of the environment.
const (
	envConfig      = "BALANCER_CONFIG" // the file
	envName        = "BALANCER_NAME"
	envListen      = "BALANCER_LISTEN"
	envDiscovery   = "BALANCER_DISCOVERY"
	envMgmt        = "BALANCER_MGMT"
	envInheritedFD = "BALANCER_INHERITED_FD"
)

// override replaces what the file says by what the environment says. On a reload, the address of discovery in the file
// is newer than the one in the environment.
func (f *file) override(env func(string) string, isReload bool) {
	overrideString(&f.Name, env(envName))
	overrideString(&f.Listen, env(envListen))
	if !isReload || f.Discovery == "" {
		overrideString(&f.Discovery, env(envDiscovery))
	}
	overrideString(&f.Mgmt, env(envMgmt))
}

func overrideString(setting *string, value string) {
	if value != "" {
		*setting = value
	}
}

// inheritedFD returns the descriptor that BALANCER_INHERITED_FD names, or noInheritedFD.
func inheritedFD(env func(string) string) (int, error) {
	text := env(envInheritedFD)
	if text == "" {
		return noInheritedFD, nil
	}
	const bits = 31 // a descriptor is an int32 that is not negative
	fd, err := strconv.ParseUint(text, 10, bits)
	if err != nil {
		return noInheritedFD, settingError(envInheritedFD, fmt.Errorf("%q is no descriptor: %w", text, err))
	}
	return int(fd), nil
}
