// Package discovery keeps the list of nodes: it reads the list's form, watches for changes over HTTP/1.1 on
// the loop, and knows each node's address.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/netip"

	"ternstage/balance"
)

// List is the list in discovery's form.
type List struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Member is one line of it.
type Member struct {
	ID        string  `json:"id"`
	Address   string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS float64 `json:"up_since_ms"`
}

var errList = errors.New("the list cannot be used")

// ParseList reads a list and names what is wrong with it.
func ParseList(text []byte) (List, error) {
	var l List
	if err := json.Unmarshal(text, &l); err != nil {
		return List{}, fmt.Errorf("%w: %w", errList, err)
	}
	return l, l.Check()
}

// Check names the first member that cannot be.
func (l List) Check() error {
	for _, m := range l.Members {
		if _, ok := phases[m.Phase]; !ok || m.ID == "" || m.Cell < 0 {
			return fmt.Errorf("%w: member %q, cell %d, phase %q", errList, m.ID, m.Cell, m.Phase)
		}
		if _, err := netip.ParseAddrPort(m.Address); err != nil && m.Phase != "DELETED" {
			return fmt.Errorf("%w: member %q: %w", errList, m.ID, err)
		}
	}
	return nil
}

var phases = map[string]balance.State{"SERVING": balance.Ready, "DRAINING": balance.Draining,
	"DELETED": balance.Gone}

// Nodes numbers the members and knows their addresses.
type Nodes struct {
	zones   map[string]int
	byID    map[string]uint32
	address map[uint32]string
	listed  map[string]bool
	entries map[string]balance.Entry // of members that are listed, as the list says them
	hold    Holder
}

// Holder says which members the operators hold out of service, and hears of every member that is listed.
type Holder interface {
	Listed(id string)
	Held(id string) bool
}

// HoldBy has members that h holds out given to the module as draining, whatever the list says.
func (n *Nodes) HoldBy(h Holder) { n.hold = h }

// Entry is the module's form of a listed member, with what holds applied; false for one that is not listed.
func (n *Nodes) Entry(id string) (balance.Entry, bool) {
	e, ok := n.entries[id]
	return n.held(id, e), ok
}

func (n *Nodes) held(id string, e balance.Entry) balance.Entry {
	if n.hold != nil && e.State == balance.Ready && n.hold.Held(id) {
		e.State = balance.Draining
	}
	return e
}

// NewNodes makes an empty table; zones are the settings' names in order.
func NewNodes(zones []string) *Nodes {
	n := &Nodes{zones: map[string]int{}, byID: map[string]uint32{}, address: map[uint32]string{},
		listed: map[string]bool{}, entries: map[string]balance.Entry{}}
	for i, z := range zones {
		n.zones[z] = i
	}
	return n
}

// number is a member's number: the same at every broker, as the module takes turns by it.
func (n *Nodes) number(id string) uint32 {
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

// Number is the number of a member that is listed.
func (n *Nodes) Number(id string) (uint32, bool) {
	x, ok := n.byID[id]
	return x, ok && n.listed[id]
}

// Address is where a node listens, "" if it is not known any more.
func (n *Nodes) Address(node uint32) string { return n.address[node] }

// Size is how many members are listed as serving or draining.
func (n *Nodes) Size() int { return len(n.listed) }

// Apply takes a list and gives the module's form of it. shift turns a wall clock reading into the loop's.
func (n *Nodes) Apply(l List, shift float64) []balance.Entry {
	if l.Complete {
		clear(n.listed)
	}
	es := make([]balance.Entry, 0, len(l.Members))
	for _, m := range l.Members {
		e := balance.Entry{Replica: n.number(m.ID), Cell: m.Cell, Zone: n.zones[m.Locality],
			State: phases[m.Phase]}
		if m.UpSinceMS > 0 {
			e.ReadyAt = max(m.UpSinceMS+shift, 1)
		}
		if e.State == balance.Gone {
			delete(n.listed, m.ID)
		} else {
			n.listed[m.ID] = true
			n.address[e.Replica] = m.Address
			n.entries[m.ID] = e
			if n.hold != nil {
				n.hold.Listed(m.ID)
			}
		}
		es = append(es, n.held(m.ID, e))
	}
	// Members that are gone are forgotten, as new ones come under new ids all day. One that comes back has its
	// old number again, unless two ids clash.
	for id, x := range n.byID {
		if !n.listed[id] {
			delete(n.byID, id)
			delete(n.address, x)
			delete(n.entries, id)
		}
	}
	return es
}
