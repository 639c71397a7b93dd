// Package control carries out the operators' calls on the loop: it asks maintenance what a call changes,
// keeps the suspended backends and a drain in files that every process of the aggregator shares, has the
// module hear of what is suspended as it hears of the list, and has the front send clients away. It
// implements adminapi.Calls.
package control

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"time"

	"go.uber.org/zap"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/ops/handover"
	"ternstage/internal/ops/maintenance"
	"ternstage/internal/store/statefile"
)

// PollIntervalMs is how often the file is looked at for what another process of the aggregator wrote, in ms: well
// inside the 50 ms of slack that a drain's second has, so that a ban said yes to by one process holds at
// the other in time.
const PollIntervalMs = 20.0

// EndpointSink is the module as it hears of the list.
type EndpointSink interface {
	EndpointsChanged(kind scheduler.UpdateKind, entries []scheduler.Endpoint)
}

// Members gives the module's form of a listed leaf, with what holds applied.
type Members interface {
	Endpoint(id string) (scheduler.Endpoint, bool)
}

// Front is the clients' front as sending them away needs it.
type Front interface {
	Healthy() bool
	CanServe() bool // it could serve: a list is known and the program does not end
	SetDraining(on bool)
	CloseAfterResponse(on bool)
	CloseIdle()
}

// Control carries out the operators' calls.
type Control struct {
	loop      *loop.Loop
	log       *logs.Log
	bans      *maintenance.Suspensions
	drain     maintenance.Drain
	phase     maintenance.Phase
	list      EndpointSink
	members   Members
	front     Front
	path      string
	stamp     statefile.Fingerprint // of the file as last read or written
	bad       statefile.Fingerprint // of a file that could not be used, logged once
	timer     *loop.Timer
	stopping  bool
	drainBy   string          // file of the drain
	drainOff  bool            // the file could not be read, logged once
	drainHere bool            // the file could not be written: the drain holds in this process alone
	found     bool            // the drain that holds was found at the start: another process was told
	hand      *HandoverConfig // nil where no other process takes over
}

// HandoverConfig is what a hand-over of cold sends between the processes of an aggregator needs.
type HandoverConfig struct {
	Path        string  // of the record, beside the held leafs
	WindowMs    float64 // ms: of the allowance of cold leafs
	Started     float64 // Unix ms: when this process started
	BrokerCount int     // of the settings
	Core        interface {
		HandOver() []scheduler.WarmupSend
		TakeOver(sent []scheduler.WarmupSend)
		OtherProcessActive()
	}
	Known func(replica uint32) bool // the leaf is listed here

	stamp, bad statefile.Fingerprint
	record     *handover.Record // read, and waited on
	waited     bool             // that has had its line
	taken      bool
	serving    *statefile.LockFile // whose lock the process that serves holds; nil until it is opened
	alone      bool                // the lock is ours: no other process serves that has not handed over
}

// EnableHandover has the control hand cold sends over at Stop, and take them over from the process before.
func (u *Control) EnableHandover(h *HandoverConfig) {
	u.hand = h
	u.lookHand()
}

// New makes the control and reads the file of held leafs at path, if there is one. A file that cannot be
// used is logged and taken for none: it does not stop a start.
func New(l *loop.Loop, log *logs.Log, path string, members Members, list EndpointSink, front Front) *Control {
	u := &Control{loop: l, log: log, bans: maintenance.NewSuspensions(), list: list, members: members,
		front: front, path: path, drainBy: path + ".drain"}
	u.timer = l.NewTimer(u.tick)
	u.look()
	u.lookDrain()
	u.found = u.drain.SinceMs() > 0
	u.follow()
	return u
}

// Suspensions are the held leafs, for the list to ask.
func (u *Control) Suspensions() *maintenance.Suspensions { return u.bans }

// Start begins to look at the file and at the phase of a drain.
func (u *Control) Start() { u.timer.Set(u.loop.Now() + PollIntervalMs) }

// Stop tells that the program ends: it is no longer ready, and another process takes over what it sent
// to cold leafs.
func (u *Control) Stop() {
	if u.stopping {
		return
	}
	u.stopping = true
	if h := u.hand; h != nil {
		h.taken = true // what it writes now is its successor's, not its own
		sent := h.Core.HandOver()
		err := statefile.Write(h.Path, handover.Encode(unixNow(), h.BrokerCount, sent))
		u.log.Info("cold sends handed over", zap.Int("sent", len(sent)), zap.Error(err))
	}
}

func (h *HandoverConfig) successor() *handover.Successor {
	return &handover.Successor{StartedUnixMs: h.Started, WindowMs: h.WindowMs, BrokerCount: h.BrokerCount, Known: h.Known}
}

// lookHand reads the record of the process before, if it has changed, and takes it over when it may.
func (u *Control) lookHand() {
	h := u.hand
	if h == nil || u.stopping {
		return
	}
	if u.lookBeside(h); h.taken {
		return
	}
	if st, err := statefile.Stat(h.Path); err == nil && st != h.stamp && st != h.bad {
		text, err := os.ReadFile(h.Path)
		var r handover.Record
		if err == nil {
			r, err = handover.Decode(text)
		}
		if err != nil {
			h.bad = st
			u.log.Warn("cold sends not taken over", zap.String("file", h.Path), zap.Error(err))
			return
		}
		h.stamp, h.record = st, &r
	}
	if h.record == nil {
		return
	}
	now := unixNow()
	not := func(why string) {
		u.log.Warn("cold sends not taken over", zap.String("file", h.Path), zap.String("reason", why),
			zap.Float64("age_ms", now-h.record.WrittenUnixMs))
	}
	switch h.successor().Decide(h.record, now) {
	case handover.Ignore:
		not("written before this process started")
		h.record = nil
	case handover.DifferentFleet:
		not("of a process that was told of another number of peers")
		h.record = nil
	case handover.Wait:
		if !h.waited {
			not("it names leafs that are not listed here yet")
		}
		h.waited = true
	case handover.Apply:
		sent := handover.AgeSends(h.record, now, h.WindowMs)
		h.Core.TakeOver(sent)
		h.taken, h.record = true, nil
		u.log.Info("cold sends taken over", zap.Int("sent", len(sent)))
	}
}

// lookBeside has the module send nothing to cold leafs while another process of the aggregator serves beside
// this one and has not handed over: each would use the whole share. The one that serves holds a lock, which
// the kernel frees when it ends, however it does. Where there can be no such file nothing is known, and the
// wait of the first window after a start has to do.
func (u *Control) lookBeside(h *HandoverConfig) {
	if h.alone {
		return
	}
	if h.serving == nil {
		path := h.Path + ".serving"
		lock, err := statefile.OpenLock(path)
		if err != nil {
			u.log.Warn("whether another process serves is not known", zap.String("file", path), zap.Error(err))
			h.alone = true
			return
		}
		h.serving = lock
	}
	if h.alone = h.serving.TryLock() == nil; !h.alone && !h.taken {
		h.Core.OtherProcessActive()
	}
}

// Ready implements adminapi.Calls. A drain that was found at the start does not stop this process from taking
// over from the one that was told; health says no all the same.
func (u *Control) Ready() bool {
	return !u.stopping && (u.front.Healthy() || u.found && u.drain.SinceMs() > 0 && u.front.CanServe())
}

// Suspend implements adminapi.Calls.
func (u *Control) Suspend(id string) maintenance.CallResult { return u.change(id, u.bans.Suspend) }

// Resume implements adminapi.Calls.
func (u *Control) Resume(id string) maintenance.CallResult { return u.change(id, u.bans.Resume) }

func (u *Control) change(id string, do func(string) maintenance.CallResult) maintenance.CallResult {
	lock, err := statefile.Lock(u.path)
	if locked := (*statefile.LockedError)(nil); errors.As(err, &locked) {
		u.log.Warn("held leafs not changed", zap.String("file", u.path), zap.Error(err))
		return maintenance.CallResult{Status: 500, Reason: lockedReason(locked)}
	}
	if err == nil { // without a lock file there will be no file either, and the answer says so
		defer lock.Close()
	}
	u.look() // what another process wrote comes first
	v := do(id)
	if !v.Changed {
		return v
	}
	u.tell(id)
	if err := u.write(); err != nil {
		// It holds in this process, but would not hold in the next: a no, so that the call is made again.
		u.log.Warn("held leafs not kept", zap.String("file", u.path), zap.Error(err))
		return maintenance.CallResult{Status: 500, Changed: true,
			Reason: "so here, but not kept for the next process: " + err.Error()}
	}
	return v
}

// lockedReason is part of the admin API: its text does not change.
func lockedReason(locked *statefile.LockedError) string {
	return fmt.Sprintf("nothing is changed: lock %s: another process of the aggregator is changing it\n%v",
		locked.Path, locked.Cause)
}

// Drain implements adminapi.Calls.
func (u *Control) Drain() maintenance.CallResult {
	u.lookDrain()
	v := u.drain.Begin(u.loop.Now())
	u.follow()
	if !v.Changed {
		return v
	}
	err := statefile.Write(u.drainBy, maintenance.EncodeDrain(unixNow()))
	u.drainHere = err != nil
	return u.kept(v, err)
}

// kept is the answer to a call whose change holds here, by whether it is kept for the other processes.
func (u *Control) kept(v maintenance.CallResult, err error) maintenance.CallResult {
	if err == nil {
		return v
	}
	u.log.Warn("drain not kept", zap.String("file", u.drainBy), zap.Error(err))
	v.Status, v.Reason = 500, "so here, but not kept for the next process: "+err.Error()
	return v
}

// Activate implements adminapi.Calls.
func (u *Control) Activate() maintenance.CallResult {
	u.lookDrain()
	v := u.drain.End()
	u.follow()
	err := os.Remove(u.drainBy) // also one that could not be read, or was left behind
	if errors.Is(err, fs.ErrNotExist) {
		err = nil
	}
	return u.kept(v, err)
}

// lookDrain takes the drain of the aggregator's other processes: there is a file while one holds.
func (u *Control) lookDrain() {
	now := unixNow()
	since, on, err := readDrain(u.drainBy, now)
	if err != nil && !u.drainOff {
		u.log.Warn("drain not read: it holds from now on", zap.String("file", u.drainBy), zap.Error(err))
	}
	u.drainOff = err != nil
	switch holds := u.drain.SinceMs() > 0; {
	case on && !holds:
		u.drain.Begin(u.loop.Now() - (now - since))
	case !on && holds && !u.drainHere:
		u.drain.End()
	}
}

// unixNow is the wall clock in Unix ms.
func unixNow() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// follow has the front do what the phase of a drain asks.
func (u *Control) follow() {
	p := u.drain.Phase(u.loop.Now())
	if p == maintenance.ClosingIdle {
		u.front.CloseIdle() // again at each look: one that a late client opened is not left idle either
	}
	if p == u.phase {
		return
	}
	u.log.Info("clients", zap.Stringer("from", u.phase), zap.Stringer("to", p))
	u.front.SetDraining(p != maintenance.Serving)
	u.front.CloseAfterResponse(p >= maintenance.ClosingConnections)
	u.phase = p
}

func (u *Control) tick() {
	u.look()
	u.lookHand()
	u.lookDrain()
	u.follow()
	u.timer.Set(u.loop.Now() + PollIntervalMs)
}

// tell has the module hear of a leaf that is held or freed, as the list would tell it.
func (u *Control) tell(ids ...string) {
	es := make([]scheduler.Endpoint, 0, len(ids))
	for _, id := range ids {
		if e, ok := u.members.Endpoint(id); ok {
			es = append(es, e)
		}
	}
	if len(es) > 0 {
		u.list.EndpointsChanged(scheduler.UpdateDelta, es)
	}
}

// look reads the file again if it has changed since it was last read or written.
func (u *Control) look() {
	st, err := statefile.Stat(u.path)
	if errors.Is(err, fs.ErrNotExist) {
		return // nothing was ever held, or what was is kept here
	}
	if err != nil {
		u.refuse(statefile.Fingerprint{}, err)
		return
	}
	if st == u.stamp || st == u.bad {
		return
	}
	text, err := os.ReadFile(u.path)
	if err == nil && len(text) != int(st.Size()) {
		err = fmt.Errorf("%w: changed while read", maintenance.ErrSuspensionFile)
	}
	var ids []string
	if err == nil {
		ids, err = maintenance.DecodeSuspensions(text)
	}
	if err != nil {
		u.refuse(st, err)
		return
	}
	u.stamp = st
	added, freed := u.bans.Replace(ids)
	if len(added)+len(freed) > 0 {
		u.log.Info("held leafs read", zap.String("file", u.path), zap.Strings("held", added),
			zap.Strings("freed", freed))
		u.tell(append(added, freed...)...)
	}
}

func (u *Control) refuse(st statefile.Fingerprint, err error) {
	if st != u.bad || st == (statefile.Fingerprint{}) {
		u.log.Warn("held leafs not read: those held stay as they were", zap.String("file", u.path),
			zap.Error(err))
	}
	u.bad = st
}

// write keeps the held leafs: a new file under another name takes the old one's place in one rename, so
// that a reader sees the old or the new and never half of one.
func (u *Control) write() error {
	if err := statefile.Write(u.path, maintenance.EncodeSuspensions(u.bans.IDs())); err != nil {
		return err
	}
	if st, err := statefile.Stat(u.path); err == nil {
		u.stamp = st
	}
	return nil
}

// readDrain gives since when a drain holds that some process of the aggregator was told of, in Unix ms; ok
// tells that one does. What cannot be read holds all the same, from now on: the call back ends it.
func readDrain(path string, now float64) (since float64, ok bool, err error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return 0, false, nil
	}
	if err != nil {
		return now, true, err
	}
	if since, err = maintenance.DecodeDrain(text); err != nil {
		return now, true, err
	}
	return min(since, now), true, nil
}
