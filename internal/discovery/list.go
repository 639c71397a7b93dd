// Package discovery keeps the list of nodes: it reads the list's form, watches for changes over HTTP/1.1 on
// the loop, and knows each node's address.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"

	"ternstage/internal/decision/scheduler"
)

// EndpointList is the list in discovery's form.
type EndpointList struct {
	Revision  uint64           `json:"revision"`
	Complete  bool             `json:"complete"`
	Endpoints []EndpointRecord `json:"members"`
}

// EndpointRecord is one line of it.
type EndpointRecord struct {
	ID              string  `json:"id"`
	Address         string  `json:"host_port"`
	Zone            string  `json:"locality"`
	Cell            int     `json:"cell"`
	Phase           string  `json:"phase"`
	Size            float64 `json:"size"`
	StartedAtUnixMs float64 `json:"up_since_ms"`
}

var errList = errors.New("the list cannot be used")

// ParseEndpointList reads a list and names what is wrong with it.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var l EndpointList
	if err := json.Unmarshal(text, &l); err != nil {
		return EndpointList{}, fmt.Errorf("%w: %w", errList, err)
	}
	return l, l.Validate()
}

// Validate names the first member that cannot be.
func (l EndpointList) Validate() error {
	for _, m := range l.Endpoints {
		if _, ok := phases[m.Phase]; !ok || m.ID == "" || m.Cell < 0 {
			return fmt.Errorf("%w: member %q, cell %d, phase %q", errList, m.ID, m.Cell, m.Phase)
		}
		if _, err := netip.ParseAddrPort(m.Address); err != nil && m.Phase != "DELETED" {
			return fmt.Errorf("%w: member %q: %w", errList, m.ID, err)
		}
	}
	return nil
}

var phases = map[string]scheduler.ReplicaState{"SERVING": scheduler.Ready, "DRAINING": scheduler.Draining,
	"DELETED": scheduler.Removed}

// Registry numbers the members and knows their addresses.
type Registry struct {
	zones   map[string]int
	byID    map[string]uint32
	address map[uint32]string
	listed  map[string]float64            // members that are listed, with their starts as the list says them
	entries map[string]scheduler.Endpoint // of members that are listed, as the list says them
	hold    Suspender
	ended   map[string]ending // of members that were told to drain or to be gone
}

// ending is how a member was told to drain or to be gone.
type ending struct {
	started  float64 // the member's start, as the list had it
	revision uint64  // of the list that told it
}

const mostEnded = 4096 // members of which it is kept that they have drained or gone

// Suspender says which members the operators hold out of service, and hears of every member that is listed.
type Suspender interface {
	MemberListed(id string)
	Suspended(id string) bool
}

// SetSuspender has members that h holds out given to the module as draining, whatever the list says.
func (n *Registry) SetSuspender(h Suspender) { n.hold = h }

// Endpoint is the module's form of a listed member, with what holds applied; false for one that is not listed.
func (n *Registry) Endpoint(id string) (scheduler.Endpoint, bool) {
	e, ok := n.entries[id]
	return n.suspended(id, e), ok
}

func (n *Registry) suspended(id string, e scheduler.Endpoint) scheduler.Endpoint {
	if n.hold != nil && e.State == scheduler.Ready && n.hold.Suspended(id) {
		e.State = scheduler.Draining
	}
	return e
}

// NewRegistry makes an empty table; zones are the settings' names in order.
func NewRegistry(zones []string) *Registry {
	n := &Registry{zones: map[string]int{}, byID: map[string]uint32{}, address: map[uint32]string{},
		listed: map[string]float64{}, entries: map[string]scheduler.Endpoint{}, ended: map[string]ending{}}
	for i, z := range zones {
		n.zones[z] = i
	}
	return n
}

// number is a member's number: the same at every broker, as the module takes turns by it.
func (n *Registry) number(id string) uint32 {
	if x, ok := n.byID[id]; ok {
		return x
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	x := h.Sum32()
	for _, taken := n.address[x]; taken; _, taken = n.address[x] {
		x++
	}
	n.byID[id], n.address[x] = x, ""
	return x
}

// ReplicaNumber is the number of a member that is listed.
func (n *Registry) ReplicaNumber(id string) (uint32, bool) {
	_, ok := n.listed[id]
	return n.byID[id], ok
}

// Address is where a node listens, "" if it is not known any more.
func (n *Registry) Address(node uint32) string { return n.address[node] }

// Len is how many members are listed as serving or draining.
func (n *Registry) Len() int { return len(n.listed) }

// recall is the state in which a member is listed. What was told of a drain or an end holds until the member
// has started anew, or a list of a higher version says otherwise: a service that answers from an older list,
// or has started anew and counts from elsewhere, does not bring a member back.
func (n *Registry) recall(m EndpointRecord, revision uint64) scheduler.ReplicaState {
	state := phases[m.Phase]
	was, ended := n.ended[m.ID]
	switch {
	case state != scheduler.Ready:
		n.end(m.ID, ending{m.StartedAtUnixMs, max(revision, was.revision)})
	case ended && m.StartedAtUnixMs <= was.started && revision <= was.revision:
		return scheduler.Draining
	case ended:
		delete(n.ended, m.ID)
	}
	return state
}

// end keeps that a member was told to drain or to be gone. Beyond a bound the one told first is forgotten.
func (n *Registry) end(id string, e ending) {
	if n.ended[id] = e; len(n.ended) <= mostEnded {
		return
	}
	oldest := id
	for x, o := range n.ended {
		if was := n.ended[oldest]; o.revision < was.revision || o.revision == was.revision && x < oldest {
			oldest = x
		}
	}
	delete(n.ended, oldest)
}

// absent notes the members that a whole list has no more.
func (n *Registry) absent(l EndpointList) {
	has := make(map[string]bool, len(l.Endpoints))
	for _, m := range l.Endpoints {
		has[m.ID] = true
	}
	for id, started := range n.listed {
		if !has[id] {
			n.end(id, ending{started, l.Revision})
		}
	}
}

// Apply takes a list and gives the module's form of it. shift turns a wall clock reading into the loop's.
func (n *Registry) Apply(l EndpointList, shift float64) []scheduler.Endpoint {
	if l.Complete {
		n.absent(l)
		clear(n.listed)
	}
	es := make([]scheduler.Endpoint, 0, len(l.Endpoints))
	for _, m := range l.Endpoints {
		e := scheduler.Endpoint{Replica: n.number(m.ID), Cell: m.Cell, Zone: n.zones[m.Zone],
			State: n.recall(m, l.Revision)}
		if m.StartedAtUnixMs > 0 {
			e.StartedAt = max(m.StartedAtUnixMs+shift, 1)
		}
		if e.State == scheduler.Removed {
			delete(n.listed, m.ID)
		} else {
			n.listed[m.ID] = m.StartedAtUnixMs
			n.address[e.Replica] = m.Address
			n.entries[m.ID] = e
			if n.hold != nil {
				n.hold.MemberListed(m.ID)
			}
		}
		es = append(es, n.suspended(m.ID, e))
	}
	// Numbers of members that are gone are forgotten, as new ones come under new ids all day. One that comes
	// back has its old number again, unless two ids clash.
	for id, x := range n.byID {
		if _, ok := n.listed[id]; !ok {
			delete(n.byID, id)
			delete(n.address, x)
			delete(n.entries, id)
		}
	}
	return es
}
