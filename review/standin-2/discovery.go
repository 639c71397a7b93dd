package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is one backend in the list.
type member struct {
	ID      string  `json:"id"`
	Address string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Kind    string  `json:"flavor"`
	Cell    int     `json:"cell"`
	Phase   string  `json:"phase"`
	Size    float64 `json:"size"`
	UpSince int64   `json:"up_since_ms"`
}

type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery serves the list at one address. While it is down it refuses connections.
type discovery struct {
	w       *world
	address string

	mu       sync.Mutex
	revision int
	members  []member
	history  []change // every change, oldest first
	changed  chan struct{}
	server   *http.Server
	calls    []time.Time // also refused ones, as far as they are seen
	down     bool
	silent   int                  // calls up to this one are never answered, and the one after it fails after 2 s; 0 for none
	resets   bool                 // calls are reset while it is down
	callers  []net.Conn           // connections of callers
	toldAt   map[string]time.Time // by id: when a change of its phase was first written to a caller
}

type change struct {
	revision int
	member   member
}

func (w *world) newDiscovery(members []member) *discovery {
	d := &discovery{w: w, address: freeAddress(), revision: 1, members: append([]member{}, members...),
		changed: make(chan struct{}), toldAt: map[string]time.Time{}}
	d.open()
	return d
}

func (d *discovery) open() {
	listener, err := net.Listen("tcp4", d.address)
	check(err)
	d.server = &http.Server{Handler: d}
	go func() { _ = d.server.Serve(&resettingListener{Listener: listener, d: d}) }()
}

// resettingListener resets each connection while discovery is down, the open ones too.
type resettingListener struct {
	net.Listener
	d *discovery
}

func reset(connection net.Conn) {
	_ = connection.(*net.TCPConn).SetLinger(0)
	_ = connection.Close()
}

// Accept implements net.Listener.
func (r *resettingListener) Accept() (net.Conn, error) {
	for {
		connection, err := r.Listener.Accept()
		if err != nil {
			return nil, err
		}
		r.d.mu.Lock()
		down := r.d.resets && r.d.down
		if down {
			r.d.calls = append(r.d.calls, time.Now())
			r.d.w.note("discovery resets a call from %s", connection.RemoteAddr())
			reset(connection)
		} else {
			r.d.callers = append(r.d.callers, connection)
		}
		r.d.mu.Unlock()
		if !down {
			return connection, nil
		}
	}
}

// setDown makes every call fail with a 503 or, with resets, with a reset, and ends the open watches; or ends that.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	if down && d.resets {
		for _, connection := range d.callers {
			reset(connection)
		}
		d.callers = nil
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.w.note("discovery is down: %v", down)
}

// set changes the phase of a member.
func (d *discovery) set(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
			d.revision++
			d.history = append(d.history, change{d.revision, d.members[i]})
		}
	}
	close(d.changed)
	d.changed = make(chan struct{})
	d.w.note("discovery has: %s is %s, revision %d", id, phase, d.revision)
}

func (d *discovery) callCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.calls)
}

// ServeHTTP answers a call for the list, or a watch.
func (d *discovery) ServeHTTP(out http.ResponseWriter, in *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, time.Now())
	number := len(d.calls)
	d.w.note("discovery call %s from %s (down: %v)", in.URL.RequestURI(), in.RemoteAddr, d.down)
	if d.silent > 0 && number == d.silent+1 {
		d.mu.Unlock()
		time.Sleep(2 * time.Second)
		d.mu.Lock()
		d.w.note("discovery answers that call 503")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	query := in.URL.Query()
	index, _ := strconv.Atoi(query.Get("index"))
	wait, _ := strconv.Atoi(query.Get("wait"))
	over := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	for waiting := query.Has("index"); waiting && !d.down && index >= d.revision; {
		next := d.changed
		d.mu.Unlock()
		select {
		case <-next:
		case <-over:
			waiting = false
		case <-in.Context().Done():
			waiting = false
		}
		d.mu.Lock()
		for number <= d.silent && in.Context().Err() == nil {
			d.mu.Unlock()
			<-in.Context().Done()
			d.mu.Lock()
		}
	}
	if number <= d.silent {
		return
	}
	if d.down {
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	answer := list{Revision: d.revision, Complete: !query.Has("index"), Members: []member{}}
	if answer.Complete {
		answer.Members = append(answer.Members, d.members...)
	}
	for _, c := range d.history {
		if !answer.Complete && c.revision > index {
			answer.Members = append(answer.Members, c.member)
		}
	}
	text, _ := json.Marshal(answer)
	out.Header().Set("Content-Length", fmt.Sprint(len(text)))
	_, _ = out.Write(text)
	for _, m := range answer.Members {
		if _, told := d.toldAt[m.ID]; !told && m.Phase != "SERVING" {
			d.toldAt[m.ID] = time.Now()
			d.w.note("told to %s: %s is %s", in.RemoteAddr, m.ID, m.Phase)
		}
	}
}

// silence makes the open watches fall silent for good. The next call is crowded out: it waits 2 s and fails.
func (d *discovery) silence() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent = len(d.calls)
	d.w.note("the open watches fall silent")
}

// told returns when a caller was first told that a member is not serving, or false.
func (d *discovery) told(id string) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, ok := d.toldAt[id]
	return at, ok
}
