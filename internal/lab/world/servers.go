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

const firstRevision = 41 // of the list at the start; each endpoint event increments it

// discoveryServer serves the endpoint list to one broker over HTTP/1.1.
type discoveryServer struct {
	world         *World
	broker        *processBroker
	addr          string
	ln            net.Listener
	visibleEvents int      // number of endpoint events that this broker may know
	watchers      []func() // answer calls that wait for events
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

// notify makes endpoint events visible, up to an index, and answers the calls that wait for them.
func (d *discoveryServer) notify(upTo int) {
	s := d.world
	if until := s.fleet.agentSilentUntil[d.broker.index]; s.e.PushEndpoints && until > s.now {
		// A silent agent gets no updates either.
		s.schedule(until, func() { d.notify(upTo) })
		return
	}
	if s.e.PushEndpoints && d.visibleEvents < upTo { // what the agent has counts as known
		s.fleet.agentUpdatedAt[d.broker.index] = s.now
		for _, n := range s.fleet.endpointEvents[d.visibleEvents:upTo] {
			if n.state != scheduler.Ready {
				s.check.DrainNotified(s.now, d.broker.name, n.backend.ID)
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

// endpointList returns the visible events since an index, or the full list.
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
		listener := n.listeners.(zoneListeners)[s.e.ZoneOf(d.broker.index)]
		m := discovery.EndpointRecord{ID: n.ID, Address: d.broker.backendAddr(listener),
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
	ok := s.live.post(func() { d.handleCall(index, full, wait, answer) })
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

// handleCall answers a call at once or, if it waits for events, when there are some or its wait is over.
func (d *discoveryServer) handleCall(index int, full bool, waitMs int, answer chan<- discovery.EndpointList) {
	s := d.world
	replied, gen := false, d.broker.gen
	reply := func() {
		if replied || gen != d.broker.gen { // a call of a killed process is not answered
			return
		}
		replied = true
		l := d.endpointList(index-firstRevision, full)
		d.recordNotified(l)
		answer <- l
	}
	if s.e.PushEndpoints && s.fleet.agentSilentUntil[d.broker.index] > s.now {
		return // the call is never answered
	}
	if full || index < firstRevision+d.visibleEvents || s.e.PushEndpoints {
		reply()
		return
	}
	d.watchers = append(d.watchers, reply)
	s.schedule(s.now+float64(waitMs), reply)
}

// recordNotified informs the checker of a list that is about to be written: the broker counts as notified of it.
func (d *discoveryServer) recordNotified(l discovery.EndpointList) {
	s := d.world
	for _, m := range l.Endpoints {
		if m.Phase == "SERVING" && !s.Fault.IgnoreDrain {
			s.check.ReadyNotified(d.broker.name, m.ID)
		} else if m.Phase != "SERVING" {
			s.check.DrainNotified(s.now, d.broker.name, m.ID)
		}
	}
}

// zoneName returns the name of a zone in endpoint lists and settings.
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

// catalogueServer serves the shard catalogue over HTTP/1.1, with the faults of the experiment.
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
		default: // a duplicate; a call over HTTP gets one answer
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

// document returns the answer in the catalogue's format.
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

// openListeners opens the listeners of the catalogue and the backends.
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
				return fmt.Errorf("backend %s cannot listen for brokers of zone %d", n.ID, k.brokerZone)
			}
		}
	}
	return nil
}
