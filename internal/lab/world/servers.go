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
	world   *World
	b       *process
	addr    string
	ln      net.Listener
	visible int // news that this broker may know
	waiting []func()
}

func newDiscovery(s *World, b *process) (*discoveryServer, error) {
	ln, err := net.Listen("tcp", loopback.Own())
	if err != nil {
		return nil, err
	}
	d := &discoveryServer{world: s, b: b, addr: ln.Addr().String(), ln: ln}
	go func() { _ = (&http.Server{Handler: d}).Serve(ln) }()
	return d, nil
}

func (d *discoveryServer) close() { _ = d.ln.Close() }

// told makes news visible and wakes who waits for it.
func (d *discoveryServer) told(upTo int) {
	s := d.world
	if until := s.fleet.silent[d.b.index]; s.e.Pushed && until > s.now { // nothing reaches it either
		s.at(until, func() { d.told(upTo) })
		return
	}
	if s.e.Pushed && d.visible < upTo { // what an agent has counts as told
		s.fleet.heard[d.b.index] = s.now
		for _, n := range s.fleet.news[d.visible:upTo] {
			if n.state != scheduler.Ready {
				s.check.Told(s.now, d.b.name, n.node.ID)
			}
		}
	}
	d.visible = max(d.visible, upTo)
	waiting := d.waiting
	d.waiting = nil
	for _, w := range waiting {
		w()
	}
}

// list is what is visible since a place in the news, or the whole list.
func (d *discoveryServer) list(since int, whole bool) discovery.EndpointList {
	s, l := d.world, discovery.EndpointList{Revision: uint64(firstRevision + d.visible), Complete: whole}
	news := map[*node]listNews{}
	for i, n := range s.fleet.news[:d.visible] {
		if whole || i >= since {
			news[n.node] = n
		}
	}
	for _, n := range s.fleet.nodes {
		x, changed := news[n]
		if !changed {
			x = listNews{n, scheduler.Ready, 0}
		}
		if s.Fault.IgnoreDrain {
			x.state = scheduler.Ready
		}
		if !whole && !changed || whole && x.state == scheduler.Removed {
			continue
		}
		m := discovery.EndpointRecord{ID: n.ID, Address: d.b.way(n.wire.(sockets)[s.e.ZoneOf(d.b.index)]),
			Zone: zoneName(n.zone), Cell: n.index, Size: 1,
			Phase: map[scheduler.ReplicaState]string{scheduler.Ready: "SERVING", scheduler.Draining: "DRAINING",
				scheduler.Removed: "DELETED"}[x.state]}
		if x.started > 0 {
			m.StartedAtUnixMs = float64(s.live.unix(x.started))
		}
		l.Endpoints = append(l.Endpoints, m)
	}
	return l
}

// ServeHTTP implements http.Handler: GET /catalog/members.
func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := d.world
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	whole := err != nil || index < firstRevision
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	answer := make(chan discovery.EndpointList, 1)
	ok := s.live.post(func() {
		did, gen := false, d.b.gen
		reply := func() {
			if did || gen != d.b.gen { // nobody is told what a process that has died asked for
				return
			}
			did = true
			l := d.list(index-firstRevision, whole)
			for _, m := range l.Endpoints { // it is told once this is written
				if m.Phase == "SERVING" && !s.Fault.IgnoreDrain {
					s.check.Untold(d.b.name, m.ID)
				} else if m.Phase != "SERVING" {
					s.check.Told(s.now, d.b.name, m.ID)
				}
			}
			answer <- l
		}
		if s.e.Pushed && s.fleet.silent[d.b.index] > s.now {
			return // the call is never answered
		}
		if whole || index < firstRevision+d.visible || s.e.Pushed {
			reply()
			return
		}
		d.waiting = append(d.waiting, reply)
		s.at(s.now+float64(wait), reply)
	})
	if !ok {
		return
	}
	select {
	case l := <-answer:
		writeJSON(w, l)
	case <-r.Context().Done():
	case <-s.live.gone:
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
	answer := make(chan *told, 4)
	put := func(t *told) {
		select {
		case answer <- t:
		default: // a copy that comes later: a connection carries one answer for a call
		}
	}
	if !s.live.post(func() { s.fleet.asked(call, func() { put(nil) }, func(t told) { put(&t) }) }) {
		return
	}
	select {
	case t := <-answer:
		if t == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		writeJSON(w, t.doc())
	case <-r.Context().Done():
	case <-s.live.gone:
	}
}

// doc is what is told, in the catalogue's form.
func (t told) doc() shardcatalog.Document {
	if t.v != nil {
		d := shardcatalog.FormatSnapshot(t.v, nil, t.retired)
		if t.spoilt {
			d.Shards = d.Shards[1:]
		}
		return d
	}
	d := shardcatalog.Document{Epoch: t.epoch}
	for _, c := range t.changes {
		d.Changes = append(d.Changes, shardcatalog.FormatChange(c))
	}
	return d
}

// wires opens the nodes' sockets and the catalogue's.
func (s *World) wires() error {
	ln, err := net.Listen("tcp", loopback.Own())
	if err != nil {
		return err
	}
	s.catalogue = ln.Addr().String()
	go func() { _ = (&http.Server{Handler: &catalogueServer{s}}).Serve(ln) }()
	go func() {
		<-s.live.gone
		_ = ln.Close()
	}()
	for _, n := range s.fleet.nodes {
		n.wire = newSockets(n)
		n.wire.back()
		for _, k := range n.wire.(sockets) {
			if k.addr == "" {
				return errListen
			}
		}
	}
	return nil
}
