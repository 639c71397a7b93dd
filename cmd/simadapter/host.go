package main

import (
	"fmt"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/transport/simwire"
)

// host holds the instances of this process. They share the tables of endpoints, which they only read, and the reply.
type host struct {
	instances map[uint32]*instance
	endpoints map[uint8][]scheduler.Endpoint // by the number of their table
	reply     simwire.Reply
	active    []*instance // with events in this batch, in the order of their first
}

func newHost() *host {
	return &host{instances: map[uint32]*instance{}, endpoints: map[uint8][]scheduler.Endpoint{}}
}

// play passes the events of a batch to the schedulers and adds their actions to the reply.
func (h *host) play(batch *simwire.Batch) error {
	h.active = h.active[:0]
	var current *instance
	for i := range batch.Len() {
		record := batch.Record(i)
		switch record.Code() {
		case simwire.EventInstance:
			current = h.instance(record.Instance())
			continue
		case simwire.EventEndpointTable:
			table, endpoints, err := record.EndpointTable()
			if err != nil {
				return err
			}
			h.endpoints[table] = endpoints
			continue
		}
		if current == nil {
			return frameError(batch, "record %d comes before any instance is named", i)
		}
		if err := h.playEvent(current, batch, record); err != nil {
			return err
		}
	}
	h.runRounds(batch.NowMs)
	return nil
}

// instance returns the instance with an id, which may not have a scheduler yet.
func (h *host) instance(id uint32) *instance {
	if h.instances[id] == nil {
		h.instances[id] = &instance{id: id}
	}
	return h.instances[id]
}

// playEvent starts, ends or informs an instance. Events for one without a scheduler are ignored.
func (h *host) playEvent(target *instance, batch *simwire.Batch, record simwire.Record) error {
	switch record.Code() {
	case simwire.EventCreate:
		if err := target.create(record); err != nil {
			return err
		}
	case simwire.EventTeardown:
		target.tearDown()
		return nil
	case simwire.EventAnswerBegun, simwire.EventProbeEnded, simwire.EventMessage, simwire.EventTimer,
		simwire.EventAttemptEnded,
		simwire.EventEndpoints, simwire.EventRequest, simwire.EventClientDisconnected:
	default:
		return frameError(batch, "event code %d is unknown", record.Code())
	}
	if target.scheduler == nil {
		return nil
	}
	if !target.active {
		target.active = true
		h.active = append(h.active, target)
	}
	return h.inform(target, batch.NowMs, record)
}

// inform passes an event to an instance's scheduler. It has no use for the beginning of an answer, for probes and for
// messages, as it asks for none of them.
func (h *host) inform(target *instance, nowMs float64, record simwire.Record) error {
	decider := target.scheduler
	switch record.Code() {
	case simwire.EventEndpoints:
		update, err := record.EndpointUpdate()
		if err != nil {
			return err
		}
		var endpoints []scheduler.Endpoint
		if update.Kind != scheduler.UpdateFailed {
			endpoints = h.endpoints[update.Table]
		}
		target.guard(func() { decider.EndpointsChanged(nowMs, update.Kind, endpoints) })
	case simwire.EventRequest:
		request := record.Request()
		if request.IsQuery() {
			target.guard(func() { decider.QueryArrived(nowMs, request.Query()) })
		} else {
			target.guard(func() { decider.PartArrived(nowMs, request.Part()) })
		}
	case simwire.EventAttemptEnded:
		result, err := record.AttemptResult()
		if err != nil {
			return err
		}
		target.guard(func() { decider.AttemptEnded(nowMs, result) })
	case simwire.EventClientDisconnected:
		target.guard(func() { decider.ClientDisconnected(nowMs, record.DisconnectedQuery()) })
	case simwire.EventTimer:
		target.guard(func() { decider.TimerFired(nowMs) })
	}
	return nil
}

// runRounds ends the batch: each active instance decides once, and its actions go into the reply.
func (h *host) runRounds(nowMs float64) {
	for _, target := range h.active {
		target.active = false
		if target.scheduler != nil {
			target.guard(func() { target.scheduler.RunRound(nowMs) })
		}
		target.flush(&h.reply)
	}
}

func frameError(batch *simwire.Batch, format string, values ...any) error {
	return &simwire.FrameError{Number: batch.Number, Err: fmt.Errorf(format, values...)}
}
