package main

import (
	"fmt"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/transport/simwire"
)

// host holds the instances of this process. They share the endpoint tables, which they only read, and the reply.
type host struct {
	instances map[uint32]*instance
	endpoints map[uint8][]scheduler.Endpoint // by table number
	reply     simwire.Reply
	active    []*instance // instances with events in this batch, in the order of their first event
}

func newHost() *host {
	return &host{instances: map[uint32]*instance{}, endpoints: map[uint8][]scheduler.Endpoint{}}
}

// processBatch passes the events of a batch to the schedulers and adds their actions to the reply.
func (h *host) processBatch(batch *simwire.Batch) error {
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
			return frameError(batch, "record %d comes before an instance is selected", i)
		}
		if err := h.processEvent(current, batch, record); err != nil {
			return err
		}
	}
	h.runRounds(batch.NowMs)
	return nil
}

// instance returns the instance with an id, and adds one without a scheduler if the id is new.
func (h *host) instance(id uint32) *instance {
	if h.instances[id] == nil {
		h.instances[id] = &instance{id: id}
	}
	return h.instances[id]
}

// processEvent starts or ends an instance, or forwards an event to it. Events for an instance without a scheduler are
// ignored.
func (h *host) processEvent(target *instance, batch *simwire.Batch, record simwire.Record) error {
	switch record.Code() {
	case simwire.EventCreate:
		if err := target.start(record); err != nil {
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
	return h.forwardEvent(target, batch.NowMs, record)
}

// forwardEvent passes an event to an instance's scheduler. It ignores the beginning of an answer, the end of a probe
// and messages, since the scheduler requests none of them.
func (h *host) forwardEvent(target *instance, nowMs float64, record simwire.Record) error {
	sched := target.scheduler
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
		target.callScheduler(func() { sched.EndpointsChanged(nowMs, update.Kind, endpoints) })
	case simwire.EventRequest:
		request := record.Request()
		if request.IsQuery() {
			target.callScheduler(func() { sched.QueryArrived(nowMs, request.Query()) })
		} else {
			target.callScheduler(func() { sched.PartArrived(nowMs, request.Part()) })
		}
	case simwire.EventAttemptEnded:
		result, err := record.AttemptResult()
		if err != nil {
			return err
		}
		target.callScheduler(func() { sched.AttemptEnded(nowMs, result) })
	case simwire.EventClientDisconnected:
		target.callScheduler(func() { sched.ClientDisconnected(nowMs, record.DisconnectedQuery()) })
	case simwire.EventTimer:
		target.callScheduler(func() { sched.TimerFired(nowMs) })
	}
	return nil
}

// runRounds ends the batch: it runs one scheduling round of each active instance and adds their actions to the reply.
func (h *host) runRounds(nowMs float64) {
	for _, target := range h.active {
		target.active = false
		if target.scheduler != nil {
			target.callScheduler(func() { target.scheduler.RunRound(nowMs) })
		}
		target.flushActions(&h.reply)
	}
}

func frameError(batch *simwire.Batch, format string, values ...any) error {
	return &simwire.FrameError{Number: batch.Number, Err: fmt.Errorf(format, values...)}
}
