package main

import (
	"fmt"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/transport/simwire"
)

// instance is one broker of the simulation. It implements scheduler.Actions.
//
// It keeps the scheduler's actions until the end of the batch, since a teardown later in the batch discards them.
type instance struct {
	id        uint32
	scheduler *scheduler.Scheduler // nil before EventCreate, and after EventTeardown or a panic
	actions   []func(*simwire.Reply)
	active    bool // is in host.active
}

// start gives the instance a new scheduler and discards the actions of an earlier one.
func (in *instance) start(record simwire.Record) error {
	in.actions = in.actions[:0]
	seed, settings, err := record.Creation()
	if err != nil {
		return err
	}
	in.scheduler, err = scheduler.New(settings, seed, in)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// tearDown discards the scheduler and its actions.
func (in *instance) tearDown() {
	in.scheduler = nil
	in.actions = in.actions[:0]
}

// callScheduler runs a call of the scheduler, unless the instance has none. A panic ends the instance and is reported
// as a fault.
func (in *instance) callScheduler(call func()) {
	defer func() {
		if failure := recover(); failure != nil {
			in.addAction(func(reply *simwire.Reply) { reply.Fault(fmt.Sprint(failure)) })
			in.scheduler = nil
		}
	}()
	if in.scheduler != nil {
		call()
	}
}

func (in *instance) addAction(action func(*simwire.Reply)) { in.actions = append(in.actions, action) }

// flushActions moves the actions of the batch to the reply.
func (in *instance) flushActions(reply *simwire.Reply) {
	if len(in.actions) > 0 {
		reply.SelectInstance(in.id)
	}
	for _, action := range in.actions {
		action(reply)
	}
	in.actions = in.actions[:0]
}

// Send implements scheduler.Actions.
func (in *instance) Send(part uint64, replica uint32, timeoutMs float64) {
	in.addAction(func(reply *simwire.Reply) { reply.Send(part, timeoutMs, replica) })
}

// Cancel implements scheduler.Actions.
func (in *instance) Cancel(part uint64, attempt int) {
	in.addAction(func(reply *simwire.Reply) { reply.Cancel(part, uint16(attempt)) })
}

// CloseIdleConnections implements scheduler.Actions.
func (in *instance) CloseIdleConnections(replica uint32) {
	in.addAction(func(reply *simwire.Reply) { reply.CloseIdleConnections(replica) })
}

// Answer implements scheduler.Actions.
func (in *instance) Answer(query uint64, complete bool) {
	in.addAction(func(reply *simwire.Reply) { reply.Answer(query, complete) })
}

// Reject implements scheduler.Actions.
func (in *instance) Reject(query uint64, retryAfterMs float64) {
	in.addAction(func(reply *simwire.Reply) { reply.Reject(query, retryAfterMs) })
}

// Fail implements scheduler.Actions.
func (in *instance) Fail(query uint64) {
	in.addAction(func(reply *simwire.Reply) { reply.Fail(query) })
}

// SetTimer implements scheduler.Actions. The timer's reference is not needed, as the scheduler compares times to find
// out whether the timer that it waits for has fired.
func (in *instance) SetTimer(afterMs float64) {
	in.addAction(func(reply *simwire.Reply) { reply.SetTimer(afterMs, 0) })
}

// WatchEndpoints implements scheduler.Actions.
func (in *instance) WatchEndpoints() { in.addAction((*simwire.Reply).WatchEndpoints) }

// Log implements scheduler.Actions.
func (in *instance) Log(text string) {
	in.addAction(func(reply *simwire.Reply) { reply.Log(text) })
}
