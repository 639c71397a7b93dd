package reload

import (
	"os"
	"reflect"

	"go.uber.org/zap"

	"ternstage/internal/config"
	"ternstage/internal/logs"
)

// Loop runs work on the thread that owns the broker's state.
type Loop interface {
	// Post queues work from any thread and does not wait for it.
	Post(work func())
}

// Discovery is the client of discovery that follows the endpoint list.
type Discovery interface {
	// MoveTo continues with discovery at another IP address and port. It is called on the loop.
	MoveTo(address string)
}

// Reloader holds the configuration in force.
type Reloader struct {
	loop      Loop
	log       *logs.Log
	discovery Discovery
	current   *config.Config // read and written on the loop only
}

// New returns a Reloader for a process that was started with the configuration started. A reload that changes the
// address of discovery updates started.
func New(loop Loop, log *logs.Log, discovery Discovery, started *config.Config) *Reloader {
	return &Reloader{loop: loop, log: log, discovery: discovery, current: started}
}

// Serve reloads the file for each signal until the channel is closed. It blocks and must not run on the loop, so that
// no request waits for the file.
func (r *Reloader) Serve(signals <-chan os.Signal) {
	for range signals {
		loaded, err := config.Reload()
		r.loop.Post(func() { r.apply(loaded, err) })
	}
}

// apply applies a loaded configuration, or logs the error of loading it. It runs on the loop.
func (r *Reloader) apply(loaded *config.Config, err error) {
	if err != nil {
		r.log.Error("reload failed: the old configuration stays", zap.Error(err))
		return
	}
	addressChanged := loaded.Discovery != r.current.Discovery
	r.log.Info("reloaded", zap.String("discovery", loaded.Discovery), zap.Bool("address_changed", addressChanged),
		zap.Strings("needs_restart", r.needsRestart(loaded)))
	if addressChanged {
		r.current.Discovery = loaded.Discovery
		r.discovery.MoveTo(loaded.Discovery)
	}
}

// limits are the fields of a configuration that the log reports together as "limits".
type limits struct {
	cores          float64
	memoryMB       int
	maxDescriptors int
}

func limitsOf(c *config.Config) limits {
	return limits{cores: c.Cores, memoryMB: c.MemoryMB, maxDescriptors: c.MaxDescriptors}
}

// needsRestart returns the names of the parts that differ from the configuration in force and that only a restart
// applies. The result is empty, not nil, if there are none, so that the log has a list.
func (r *Reloader) needsRestart(loaded *config.Config) []string {
	names := []string{}
	for _, part := range []struct {
		name            string
		inForce, loaded any
	}{
		{"name", r.current.Name, loaded.Name},
		{"listen", r.current.Listen, loaded.Listen},
		{"limits", limitsOf(r.current), limitsOf(loaded)},
		{"settings", r.current.DecodedSettings, loaded.DecodedSettings},
	} {
		if !reflect.DeepEqual(part.inForce, part.loaded) {
			names = append(names, part.name)
		}
	}
	return names
}
