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

// DrainPath returns the path of the file of a drain, beside that of the suspended backends at path.
func DrainPath(path string) string { return path + ".drain" }

// Drain implements adminapi.Operations.
func (c *Control) Drain() maintenance.CallResult { return c.drain.begin() }

// Activate implements adminapi.Operations.
func (c *Control) Activate() maintenance.CallResult { return c.drain.end() }

// drainer takes the clients' front through the phases of a drain, and shares the drain with the broker's other
// processes: its file exists while the broker is draining.
type drainer struct {
	loop  *loop.Loop
	log   *logs.Log
	path  string
	front Front
	state maintenance.BrokerDrain
	phase maintenance.Phase // that the front was last put into

	readFailed bool // the file could not be read last time, which is logged once
	localOnly  bool // the drain begun here could not be stored: it is in force although there is no file
	inherited  bool // there was a drain when this process started
}

func newDrainer(eventLoop *loop.Loop, log *logs.Log, path string, front Front) *drainer {
	return &drainer{loop: eventLoop, log: log, path: path, front: front}
}

// start applies the drain that is in force when the process starts, if there is one.
func (d *drainer) start() {
	d.refresh()
	d.inherited = d.inForce()
	d.applyPhase()
}

func (d *drainer) inForce() bool { return d.state.SinceMs() > 0 }

func (d *drainer) inheritedInForce() bool { return d.inherited && d.inForce() }

func (d *drainer) begin() maintenance.CallResult {
	d.refresh()
	result := d.state.Begin(d.loop.Now())
	d.applyPhase()
	if !result.Changed {
		return result
	}
	err := statefile.Write(d.path, maintenance.EncodeDrain(unixNowMs()))
	d.localOnly = err != nil
	return d.stored(result, err)
}

// end removes the file whether or not a drain was in force: it may be one that cannot be read.
func (d *drainer) end() maintenance.CallResult {
	d.refresh()
	result := d.state.End()
	d.applyPhase()
	err := os.Remove(d.path)
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return d.stored(result, err)
}

// stored returns the answer to a call that is in force here, given the error of storing it.
func (d *drainer) stored(result maintenance.CallResult, err error) maintenance.CallResult {
	if err == nil {
		return result
	}
	d.log.Warn("drain not saved", zap.String("file", d.path), zap.Error(err))
	result.Status = http.StatusInternalServerError
	result.Reason = notStoredResult(err).Reason
	return result
}

// refresh applies the file: a drain begun or ended by another process. A file that cannot be read is a drain from now
// on, since a broker that an operator has drained must not serve; a call to activate ends it.
func (d *drainer) refresh() {
	nowUnixMs := unixNowMs()
	sinceUnixMs, found, err := readDrain(d.path, nowUnixMs)
	if err != nil && !d.readFailed {
		d.log.Warn("drain file cannot be read: the broker drains from now on", zap.String("file", d.path), zap.Error(err))
	}
	d.readFailed = err != nil
	switch {
	case found && !d.inForce():
		d.state.Begin(d.loop.Now() - (nowUnixMs - sinceUnixMs))
	case !found && d.inForce() && !d.localOnly:
		d.state.End()
	}
}

// readDrain returns when the stored drain began, at nowUnixMs at the latest, and false without one. With an error
// there is a file that cannot be read.
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

// applyPhase puts the front into the present phase of the drain.
func (d *drainer) applyPhase() {
	phase := d.state.Phase(d.loop.Now())
	if phase == maintenance.ClosingIdle {
		d.front.CloseIdle() // at every poll: clients still open connections
	}
	if phase == d.phase {
		return
	}
	d.log.Info("drain phase", zap.Stringer("from", d.phase), zap.Stringer("to", phase))
	d.front.SetDraining(phase != maintenance.Serving)
	d.front.CloseAfterResponse(phase >= maintenance.ClosingConnections)
	d.phase = phase
}
