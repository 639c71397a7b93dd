// Command simadapter runs the decision module behind the simulator's wire. It only translates.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	h := &host{instances: map[uint32]*instance{}, pools: map[uint8][]scheduler.Endpoint{}}
	for {
		b, err := wire.ReadBatch(r)
		if errors.Is(err, io.EOF) && b == nil {
			return nil
		}
		if err != nil {
			return err
		}
		h.reply.Reset(b.Number)
		if err := h.play(b); err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(w); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}

// host holds the instances of this process; they share nothing but the reply being written.
type host struct {
	instances map[uint32]*instance
	pools     map[uint8][]scheduler.Endpoint
	reply     wire.Reply
	touched   []*instance
}

// instance is one co-ordinator. It keeps the module's actions until the end of the batch, as a teardown later
// in the batch voids them.
type instance struct {
	id      uint32
	module  *scheduler.Scheduler
	actions []func(*wire.Reply)
	touched bool
}

func (h *host) play(b *wire.Batch) error {
	h.touched = h.touched[:0]
	var cur *instance
	for i := 0; i < b.Len(); i++ {
		r := b.Record(i)
		switch r.Code() {
		case wire.EventInstance:
			id := r.U32(1)
			if cur = h.instances[id]; cur == nil {
				cur = &instance{id: id}
				h.instances[id] = cur
			}
			continue
		case wire.EventEndpointTable:
			es, err := b.Entries(r)
			if err != nil {
				return err
			}
			list := make([]scheduler.Endpoint, len(es))
			for j, e := range es {
				list[j] = scheduler.Endpoint{Replica: e.Replica, Cell: int(e.Cell), Zone: int(e.Zone), StartedAt: e.ReadyAt,
					State: scheduler.ReplicaState(e.State)}
			}
			h.pools[r.U8(1)] = list
			continue
		}
		if cur == nil {
			return fmt.Errorf("frame %d: record %d comes before any instance is named", b.Number, i)
		}
		if err := h.event(cur, b, r); err != nil {
			return err
		}
	}
	for _, in := range h.touched {
		in.touched = false
		if in.module != nil {
			in.guard(func() { in.module.RunRound(b.NowMs) })
		}
		if len(in.actions) > 0 {
			h.reply.SelectInstance(in.id)
		}
		for _, act := range in.actions {
			act(&h.reply)
		}
		in.actions = in.actions[:0]
	}
	return nil
}

func (h *host) event(in *instance, b *wire.Batch, r wire.Record) error {
	now := b.NowMs
	switch r.Code() {
	case wire.EventCreate:
		in.actions = in.actions[:0]
		text, err := b.Bytes(r, 9)
		if err != nil {
			return err
		}
		s, err := wire.ParseSettings(text)
		if err != nil {
			return err
		}
		if in.module, err = scheduler.New(s, r.U64(1), in); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	case wire.EventTeardown:
		in.module, in.actions = nil, in.actions[:0]
		return nil
	case wire.EventAnswerBegun, wire.EventProbeEnded, wire.EventMessage, wire.EventTimer, wire.EventAttemptEnded, wire.EventEndpoints,
		wire.EventRequest, wire.EventClientDisconnected:
	default:
		return fmt.Errorf("frame %d: event code %d is unknown", b.Number, r.Code())
	}
	if in.module == nil {
		return nil
	}
	if !in.touched {
		in.touched = true
		h.touched = append(h.touched, in)
	}
	m := in.module
	switch r.Code() {
	case wire.EventEndpoints:
		kind := r.U8(1)
		if kind > uint8(scheduler.UpdateFailed) {
			return fmt.Errorf("frame %d: list form %d is unknown", b.Number, kind)
		}
		var list []scheduler.Endpoint
		if scheduler.UpdateKind(kind) != scheduler.UpdateFailed {
			list = h.pools[r.U8(6)]
		}
		in.guard(func() { m.EndpointsChanged(now, scheduler.UpdateKind(kind), list) })
	case wire.EventRequest:
		group, bits := int(r.F32(39)), r.U16(51)
		if r.F32(43) < 0 {
			q := scheduler.Query{ID: r.U64(1), QueryGroup: group, Class: int(r.U16(9)), Tenant: int(r.U32(11)),
				Deadline: r.F64(23), Key: r.U64(15), ClientRetry: bits&2 != 0}
			in.guard(func() { m.QueryArrived(now, q) })
			return nil
		}
		p := scheduler.Part{ID: r.U64(1), QueryGroup: group, Shard: int(r.F32(43)), Key: r.U64(15), Weight: r.F32(47),
			CostHint: r.F64(31), HasCostHint: bits&1 != 0}
		in.guard(func() { m.PartArrived(now, p) })
	case wire.EventAttemptEnded:
		res := scheduler.AttemptResult{Part: r.U64(1), Attempt: int(r.U16(9)), Replica: r.U32(11), Latency: r.F64(17),
			PartDone: r.U8(25) != 0}
		known := true
		if res.Outcome, known = outcomes[r.U16(15)]; !known {
			return fmt.Errorf("frame %d: outcome %d is unknown", b.Number, r.U16(15))
		}
		in.guard(func() { m.AttemptEnded(now, res) })
	case wire.EventMessage: // nothing is said to peers, and nothing is expected of them
	case wire.EventClientDisconnected:
		in.guard(func() { m.ClientDisconnected(now, r.U64(1)) })
	case wire.EventTimer:
		in.guard(func() { m.TimerFired(now) })
	}
	return nil
}

var outcomes = map[uint16]scheduler.Outcome{200: scheduler.Succeeded, 502: scheduler.Failed, 429: scheduler.Rejected,
	408: scheduler.TimedOut, 521: scheduler.ConnectFailed, 520: scheduler.ConnectionReset, 444: scheduler.Cancelled,
	409: scheduler.NotSent}

// guard turns a panic of the module into the wire's fault action.
func (in *instance) guard(f func()) {
	defer func() {
		if e := recover(); e != nil {
			in.do(func(w *wire.Reply) { w.Fault(fmt.Sprint(e)) })
			in.module = nil
		}
	}()
	if in.module != nil {
		f()
	}
}

func (in *instance) do(act func(*wire.Reply)) { in.actions = append(in.actions, act) }

// Send implements scheduler.Actions; so do the methods below.
func (in *instance) Send(part uint64, replica uint32, timeout float64) {
	in.do(func(w *wire.Reply) { w.Send(part, timeout, replica) })
}

// Cancel stops waiting for an attempt.
func (in *instance) Cancel(part uint64, attempt int) {
	in.do(func(w *wire.Reply) { w.Cancel(part, uint16(attempt)) })
}

// CloseIdleConnections closes idle connections.
func (in *instance) CloseIdleConnections(replica uint32) {
	in.do(func(w *wire.Reply) { w.CloseIdleConnections(replica) })
}

// Answer answers a query.
func (in *instance) Answer(query uint64, whole bool) {
	in.do(func(w *wire.Reply) { w.Answer(query, whole) })
}

// Reject refuses a query.
func (in *instance) Reject(query uint64, after float64) {
	in.do(func(w *wire.Reply) { w.Reject(query, after) })
}

// Fail fails a query.
func (in *instance) Fail(query uint64) { in.do(func(w *wire.Reply) { w.Fail(query) }) }

// SetTimer sets a timer.
func (in *instance) SetTimer(after float64) { in.do(func(w *wire.Reply) { w.SetTimer(after, 0) }) }

// WatchEndpoints subscribes to the list.
func (in *instance) WatchEndpoints() { in.do((*wire.Reply).WatchEndpoints) }

// Log writes a report line.
func (in *instance) Log(text string) { in.do(func(w *wire.Reply) { w.Log(text) }) }
