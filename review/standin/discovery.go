package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

type member struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"`
}

type memberList struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is a stand-in for the discovery service: whole lists and watches.
type discovery struct {
	addr    string
	rec     *record
	server  *http.Server
	mu      sync.Mutex
	members []member
	changes []change // by revision
	rev     int
	changed chan struct{}
	down    bool // every call ends in 503
	calls   []time.Time
}

type change struct {
	revision int
	member   member
}

const firstRevision = 41

func startDiscovery(rec *record, members []member) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{addr: ln.Addr().String(), rec: rec, members: append([]member(nil), members...), rev: firstRevision,
		changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(ln) }()
	return d, nil
}

// ServeHTTP implements http.Handler.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, time.Now())
	d.rec.line("discovery: call %s", r.URL.RequestURI())
	index, err := strconv.Atoi(r.URL.Query().Get("index"))
	isWatch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	until := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for waiting := isWatch; waiting && !d.down && index >= d.rev; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		d.mu.Lock()
	}
	if d.down {
		d.rec.line("discovery: 503 to %s", r.URL.RequestURI())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	list := memberList{Revision: d.rev, Complete: !isWatch, Members: []member{}}
	if !isWatch {
		list.Members = d.members
	}
	latest := map[string]member{}
	var order []string
	for _, c := range d.changes {
		if isWatch && c.revision > index {
			if _, seen := latest[c.member.ID]; !seen {
				order = append(order, c.member.ID)
			}
			latest[c.member.ID] = c.member
		}
	}
	for _, id := range order {
		list.Members = append(list.Members, latest[id])
	}
	text, _ := json.Marshal(list)
	d.rec.line("discovery: answer to %s: revision %d, whole %v, %d entries", r.URL.RequestURI(), list.Revision,
		list.Complete, len(list.Members))
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write(text)
}

// setDown begins or ends an outage. At its beginning all watches end.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.rec.line("discovery: down %v", down)
	d.wake()
}

func (d *discovery) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// setPhase changes the phase of a leaf.
func (d *discovery) setPhase(id, phase string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
			d.rev++
			d.changes = append(d.changes, change{d.rev, d.members[i]})
		}
	}
	d.rec.line("discovery: has %s %s as revision %d", id, phase, d.rev)
	d.wake()
	return time.Now()
}

// callsSince counts the calls since a time.
func (d *discovery) callsSince(at time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	count := 0
	for _, call := range d.calls {
		if call.After(at) {
			count++
		}
	}
	return count
}
