package world

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/transport/discovery"
	"ternstage/internal/transport/shardcatalog"
)

const firstRevision = 41 // of the list at the start: what is news is counted on from it

// discoveryServer is the list of nodes for one broker, over HTTP/1.1.
type discoveryServer struct {
	world         *World
	broker        *processBroker
	addr          string
	ln            net.Listener
	visibleEvents int // news that this broker may know
	watchers      []func()
}

func newDiscovery(s *World, b *processBroker) (*discoveryServer, error) {
	ln, err := net.Listen("tcp", loopback.Own())
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{world: s, broker: b, addr: ln.Addr().String(), ln: ln}
	go func() { _ = (&http.Server{Handler: d}).Serve(ln) }()
	return d, nil
}

func (d *discoveryServer) close() { _ = d.ln.Close() }

// told makes news visible and wakes who waits for it.
func (d *discoveryServer) notify(upTo int) {
	s := d.world
	if until := s.fleet.agentSilentUntil[d.broker.index]; s.e.Pushed && until > s.now { // nothing reaches it either
		s.schedule(until, func() { d.notify(upTo) })
		return
	}
	if s.e.Pushed && d.visibleEvents < upTo { // what an agent has counts as told
		s.fleet.agentUpdatedAt[d.broker.index] = s.now
		for _, n := range s.fleet.endpointEvents[d.visibleEvents:upTo] {
			if n.state != scheduler.Ready {
				s.check.Told(s.now, d.broker.name, n.backend.ID)
			}
		}
	}
	d.visibleEvents = max(d.visibleEvents, upTo)
	watchers := d.watchers
	d.watchers = nil
	for _, w := range watchers {
		w()
	}
}

// list is what is visible since a place in the news, or the whole list.
func (d *discoveryServer) endpointList(since int, full bool) discovery.EndpointList {
	s, l := d.world, discovery.EndpointList{Revision: uint64(firstRevision + d.visibleEvents), Complete: full}
	latest := map[*backend]endpointEvent{}
	for i, n := range s.fleet.endpointEvents[:d.visibleEvents] {
		if full || i >= since {
			latest[n.backend] = n
		}
	}
	for _, n := range s.fleet.backends {
		x, changed := latest[n]
		if !changed {
			x = endpointEvent{n, scheduler.Ready, 0}
		}
		if s.Fault.IgnoreDrain {
			x.state = scheduler.Ready
		}
		if !full && !changed || full && x.state == scheduler.Removed {
			continue
		}
		m := discovery.EndpointRecord{ID: n.ID, Address: d.broker.backendAddr(n.listeners.(zoneListeners)[s.e.ZoneOf(d.broker.index)]),
			Zone: zoneName(n.zone), Cell: n.index, Size: 1,
			Phase: map[scheduler.ReplicaState]string{scheduler.Ready: "SERVING", scheduler.Draining: "DRAINING",
				scheduler.Removed: "DELETED"}[x.state]}
		if x.started > 0 {
			m.StartedAtUnixMs = float64(s.live.unixMs(x.started))
		}
		l.Endpoints = append(l.Endpoints, m)
	}
	return l
}

// ServeHTTP implements http.Handler: GET /catalog/members.
func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := d.world
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	full := err != nil || index < firstRevision
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	answer := make(chan discovery.EndpointList, 1)
	ok := s.live.post(func() {
		replied, gen := false, d.broker.gen
		reply := func() {
			if replied || gen != d.broker.gen { // nobody is told what a process that has died asked for
				return
			}
			replied = true
			l := d.endpointList(index-firstRevision, full)
			for _, m := range l.Endpoints { // it is told once this is written
				if m.Phase == "SERVING" && !s.Fault.IgnoreDrain {
					s.check.Untold(d.broker.name, m.ID)
				} else if m.Phase != "SERVING" {
					s.check.Told(s.now, d.broker.name, m.ID)
				}
			}
			answer <- l
		}
		if s.e.Pushed && s.fleet.agentSilentUntil[d.broker.index] > s.now {
			return // the call is never answered
		}
		if full || index < firstRevision+d.visibleEvents || s.e.Pushed {
			reply()
			return
		}
		d.watchers = append(d.watchers, reply)
		s.schedule(s.now+float64(wait), reply)
	})
	if !ok {
		return
	}
	select {
	case l := <-answer:
		writeJSON(w, l)
	case <-r.Context().Done():
	case <-s.live.done:
	}
}

// zoneName is a zone as lists and settings call it.
func zoneName(i int) string { return fmt.Sprintf("zone-%d", i) }

func writeJSON(w http.ResponseWriter, v any) {
	text, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}

// catalogueServer is the catalogue of slices, over HTTP/1.1, with the faults of the experiment.
type catalogueServer struct{ world *World }

// ServeHTTP implements http.Handler: GET /catalog/slices.
func (c *catalogueServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := c.world
	index, err := strconv.ParseUint(r.URL.Query().Get("index"), 10, 63)
	wait, _ := strconv.ParseFloat(r.URL.Query().Get("wait"), 64)
	call := shardmap.PollRequest{FullSnapshot: err != nil, SinceEpoch: index, WaitMs: wait, TimeoutMs: wait + 10_000}
	answer := make(chan *catalogueAnswer, 4)
	deliver := func(a *catalogueAnswer) {
		select {
		case answer <- a:
		default: // a copy that comes later: a connection carries one answer for a call
		}
	}
	if !s.live.post(func() { s.fleet.poll(call, func() { deliver(nil) }, func(a catalogueAnswer) { deliver(&a) }) }) {
		return
	}
	select {
	case a := <-answer:
		if a == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, a.document())
	case <-r.Context().Done():
	case <-s.live.done:
	}
}

// doc is what is told, in the catalogue's form.
func (a catalogueAnswer) document() shardcatalog.Document {
	if a.version != nil {
		d := shardcatalog.FormatSnapshot(a.version, nil, a.retired)
		if a.malformed {
			d.Shards = d.Shards[1:]
		}
		return d
	}
	d := shardcatalog.Document{Epoch: a.epoch}
	for _, c := range a.changes {
		d.Changes = append(d.Changes, shardcatalog.FormatChange(c))
	}
	return d
}

// wires opens the nodes' sockets and the catalogue's.
func (s *World) openListeners() error {
	ln, err := net.Listen("tcp", loopback.Own())
	if err != nil {
		return err
	}
	s.catalogueAddr = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: &catalogueServer{s}}).Serve(ln) }()
	go func() {
		<-s.live.done
		_ = ln.Close()
	}()
	for _, n := range s.fleet.backends {
		n.listeners = newZoneListeners(n)
		n.listeners.listen()
		for _, k := range n.listeners.(zoneListeners) {
			if k.addr == "" {
				return errListen
			}
		}
	}
	return nil
}
