package discovery

import (
	"hash/fnv"

	"ternstage/internal/decision/scheduler"
)

// Registry numbers the members and knows their addresses.
type Registry struct {
	zoneIndexes  map[string]int
	numbers      map[string]uint32
	addresses    map[uint32]string
	listedStarts map[string]float64            // members that are listed, with their starts as the list says them
	endpoints    map[string]scheduler.Endpoint // of members that are listed, as the list says them
	suspender    Suspender
	drains       map[string]drain // of members that were told to drain or to be gone
}

// Suspender says which members the operators hold out of service, and hears of every member that is listed.
type Suspender interface {
	MemberListed(id string)
	Suspended(id string) bool
}

// SetSuspender has members that h holds out given to the module as draining, whatever the list says.
func (r *Registry) SetSuspender(h Suspender) { r.suspender = h }

// Endpoint is the module's form of a listed member, with what holds applied; false for one that is not listed.
func (r *Registry) Endpoint(id string) (scheduler.Endpoint, bool) {
	e, ok := r.endpoints[id]
	return r.applySuspension(id, e), ok
}

func (r *Registry) applySuspension(id string, e scheduler.Endpoint) scheduler.Endpoint {
	if r.suspender != nil && e.State == scheduler.Ready && r.suspender.Suspended(id) {
		e.State = scheduler.Draining
	}
	return e
}

// NewRegistry makes an empty table; zones are the settings' names in order.
func NewRegistry(zones []string) *Registry {
	r := &Registry{zoneIndexes: map[string]int{}, numbers: map[string]uint32{}, addresses: map[uint32]string{},
		listedStarts: map[string]float64{}, endpoints: map[string]scheduler.Endpoint{}, drains: map[string]drain{}}
	for i, z := range zones {
		r.zoneIndexes[z] = i
	}
	return r
}

// assignNumber is a member's number: the same at every broker, as the module takes turns by it.
func (r *Registry) assignNumber(id string) uint32 {
	if x, ok := r.numbers[id]; ok {
		return x
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	x := h.Sum32()
	for _, taken := r.addresses[x]; taken; _, taken = r.addresses[x] {
		x++
	}
	r.numbers[id], r.addresses[x] = x, ""
	return x
}

// ReplicaNumber is the number of a member that is listed.
func (r *Registry) ReplicaNumber(id string) (uint32, bool) {
	_, ok := r.listedStarts[id]
	return r.numbers[id], ok
}

// Address is where a node listens, "" if it is not known any more.
func (r *Registry) Address(node uint32) string { return r.addresses[node] }

// Len is how many members are listed as serving or draining.
func (r *Registry) Len() int { return len(r.listedStarts) }

// Apply takes a list and gives the module's form of it. shift turns a wall clock reading into the loop's.
func (r *Registry) Apply(l EndpointList, shift float64) []scheduler.Endpoint {
	if l.Complete {
		r.drainAbsent(l)
		clear(r.listedStarts)
	}
	es := make([]scheduler.Endpoint, 0, len(l.Endpoints))
	for _, m := range l.Endpoints {
		e := scheduler.Endpoint{Replica: r.assignNumber(m.ID), Cell: m.Cell, Zone: r.zoneIndexes[m.Zone],
			State: r.stateOf(m, l.Revision)}
		if m.StartedAtUnixMs > 0 {
			e.StartedAt = max(m.StartedAtUnixMs+shift, 1)
		}
		if e.State == scheduler.Removed {
			delete(r.listedStarts, m.ID)
		} else {
			r.listedStarts[m.ID] = m.StartedAtUnixMs
			r.addresses[e.Replica] = m.Address
			r.endpoints[m.ID] = e
			if r.suspender != nil {
				r.suspender.MemberListed(m.ID)
			}
		}
		es = append(es, r.applySuspension(m.ID, e))
	}
	// Numbers of members that are gone are forgotten, as new ones come under new ids all day. One that comes
	// back has its old number again, unless two ids clash.
	for id, x := range r.numbers {
		if _, ok := r.listedStarts[id]; !ok {
			delete(r.numbers, id)
			delete(r.addresses, x)
			delete(r.endpoints, id)
		}
	}
	return es
}
