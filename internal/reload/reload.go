// Package reload takes a new configuration while the broker serves. It owns what SIGHUP means: the file is
// read again and validated whole, what can change without a restart is moved to its new value, and a file
// that cannot be used leaves everything as it was.
package reload

import (
	"os"
	"reflect"

	"go.uber.org/zap"

	"ternstage/internal/config"
	"ternstage/internal/logs"
)

// Loop is how the reading side reaches the decisions.
type Loop interface{ Post(work func()) }

// Discovery is what moves to another address.
type Discovery interface{ MoveTo(address string) }

// Reloader holds the configuration in force.
type Reloader struct {
	loop      Loop
	log       *logs.Log
	discovery Discovery
	current   *config.Config // the loop's alone
}

// New makes a reloader of the configuration that the program was started with.
func New(l Loop, log *logs.Log, d Discovery, c *config.Config) *Reloader {
	return &Reloader{loop: l, log: log, discovery: d, current: c}
}

// Serve reads the file again for each signal, until the channel is closed. It runs beside the loop, so that
// no request waits for the file.
func (r *Reloader) Serve(signals <-chan os.Signal) {
	for range signals {
		c, err := config.Reload()
		r.loop.Post(func() { r.apply(c, err) })
	}
}

// apply puts a configuration into force, or says why it does not.
func (r *Reloader) apply(c *config.Config, err error) {
	if err != nil {
		r.log.Error("reload failed: the old configuration stays", zap.Error(err))
		return
	}
	moved := c.Discovery != r.current.Discovery
	r.log.Info("reloaded", zap.String("discovery", c.Discovery), zap.Bool("moved", moved),
		zap.Strings("needs_restart", r.needsRestart(c)))
	if moved {
		r.current.Discovery = c.Discovery
		r.discovery.MoveTo(c.Discovery)
	}
}

// needsRestart names what differs in the new configuration and stays as it is until a restart.
func (r *Reloader) needsRestart(c *config.Config) []string {
	old, names := r.current, []string{}
	for _, f := range []struct {
		name      string
		was, read any
	}{
		{"name", old.Name, c.Name}, {"listen", old.Listen, c.Listen},
		{"limits", [3]float64{old.Cores, float64(old.MemoryMB), float64(old.MaxDescriptors)},
			[3]float64{c.Cores, float64(c.MemoryMB), float64(c.MaxDescriptors)}},
		{"settings", old.Settings, c.Settings},
	} {
		if !reflect.DeepEqual(f.was, f.read) {
			names = append(names, f.name)
		}
	}
	return names
}
