package adminops

import (
	"errors"
	"io/fs"
	"net/http"
	"os"

	"go.uber.org/zap"

	"ternstage/internal/decision/maintenance"
	"ternstage/internal/logs"
	"ternstage/internal/store/statefile"
	"ternstage/internal/transport/loop"
)

// DrainPath returns the path of the drain file that belongs to the file of the suspended backends at path.
func DrainPath(path string) string { return path + ".drain" }

// Drain implements adminapi.Operations: it starts a drain.
func (c *Control) Drain() maintenance.CallResult { return c.drain.begin() }

// Activate implements adminapi.Operations: it ends a drain.
func (c *Control) Activate() maintenance.CallResult { return c.drain.end() }

// drainer applies the phases of a drain to the front, and shares the drain with the broker's other processes by a
// file that exists while the broker is draining.
type drainer struct {
	loop         *loop.Loop
	log          *logs.Log
	path         string
	front        Front
	state        maintenance.BrokerDrain
	appliedPhase maintenance.Phase // the phase that the front is in

	readFailed      bool // the file could not be read at the last refresh; consecutive failures are logged once
	localOnly       bool // the drain was started here and could not be stored: it is in force without a file
	drainingAtStart bool // a drain was in force when this process started
}

func newDrainer(eventLoop *loop.Loop, log *logs.Log, path string, front Front) *drainer {
	return &drainer{loop: eventLoop, log: log, path: path, front: front}
}

// start applies the drain that is in force when the process starts, if there is one.
func (d *drainer) start() {
	d.refresh()
	d.drainingAtStart = d.isDraining()
	d.applyPhase()
}

func (d *drainer) isDraining() bool { return d.state.SinceMs() > 0 }

// isInherited reports whether a drain is in force and one was when this process started.
func (d *drainer) isInherited() bool { return d.drainingAtStart && d.isDraining() }

// begin starts a drain and stores it.
func (d *drainer) begin() maintenance.CallResult {
	d.refresh()
	result := d.state.Begin(d.loop.Now())
	d.applyPhase()
	if !result.Changed {
		return result
	}
	err := statefile.Write(d.path, maintenance.EncodeDrain(unixNowMs()))
	d.localOnly = err != nil
	return d.resultOfStoring(result, err)
}

// end stops the drain. It removes the file whether or not a drain was in force, as the file may be unreadable.
func (d *drainer) end() maintenance.CallResult {
	d.refresh()
	result := d.state.End()
	d.applyPhase()
	err := os.Remove(d.path)
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return d.resultOfStoring(result, err)
}

// resultOfStoring returns the result of a call whose change is in force here. err is the error of storing the change,
// which is logged and turns the result into a 500.
func (d *drainer) resultOfStoring(result maintenance.CallResult, err error) maintenance.CallResult {
	if err == nil {
		return result
	}
	d.log.Warn("drain not saved", zap.String("file", d.path), zap.Error(err))
	result.Status = http.StatusInternalServerError
	result.Reason = notStoredResult(err).Reason
	return result
}

// refresh reads the file and applies a drain that another process began or ended. A file that cannot be read counts
// as a drain that begins now, since a broker that an operator has drained must not serve; a call to activate ends it.
func (d *drainer) refresh() {
	nowUnixMs := unixNowMs()
	sinceUnixMs, found, err := readDrain(d.path, nowUnixMs)
	if err != nil && !d.readFailed {
		d.log.Warn("drain file cannot be read: the broker drains from now on", zap.String("file", d.path), zap.Error(err))
	}
	d.readFailed = err != nil
	switch {
	case found && !d.isDraining():
		d.state.Begin(d.loop.Now() - (nowUnixMs - sinceUnixMs))
	case !found && d.isDraining() && !d.localOnly:
		d.state.End()
	}
}

// readDrain returns the time at which the stored drain began, at most nowUnixMs, and whether there is a file. If
// there is a file that cannot be read, it returns nowUnixMs, true and an error.
func readDrain(path string, nowUnixMs float64) (sinceUnixMs float64, found bool, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return nowUnixMs, true, err
	}
	sinceUnixMs, err = maintenance.DecodeDrain(text)
	if err != nil {
		return nowUnixMs, true, err
	}
	return min(sinceUnixMs, nowUnixMs), true, nil
}

// applyPhase puts the front into the current phase of the drain.
func (d *drainer) applyPhase() {
	phase := d.state.Phase(d.loop.Now())
	if phase == maintenance.ClosingIdle {
		d.front.CloseIdle() // at every poll, as clients may still open connections
	}
	if phase == d.appliedPhase {
		return
	}
	d.log.Info("drain phase", zap.Stringer("from", d.appliedPhase), zap.Stringer("to", phase))
	d.front.SetDraining(phase != maintenance.Serving)
	d.front.CloseAfterResponse(phase >= maintenance.ClosingConnections)
	d.appliedPhase = phase
}
