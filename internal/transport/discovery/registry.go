package discovery

import (
	"hash/fnv"

	"ternstage/internal/decision/scheduler"
)

// Suspender reports which backends an operator has suspended.
type Suspender interface {
	// EndpointListed is called for each backend that an applied list names as ready or draining.
	EndpointListed(id string)
	// Suspended reports whether the backend is suspended.
	Suspended(id string) bool
}

// Registry stores the backends of the endpoint list: their replica numbers, addresses and states.
//
// Invariants: two listed backends never share a number; every backend in listedStarts has an entry in numbers,
// addresses and endpoints, and no other backend has one once Apply has returned.
type Registry struct {
	zoneIndexes  map[string]int
	numbers      map[string]uint32             // replica numbers by backend ID
	addresses    map[uint32]string             // by replica number
	listedStarts map[string]float64            // start times of the listed backends as Unix time in ms, by ID
	endpoints    map[string]scheduler.Endpoint // listed backends before suspension, by ID
	drains       rememberedDrains
	suspender    Suspender
}

// NewRegistry returns an empty Registry. zones are the zone names of the settings; their order gives the zone
// indexes.
func NewRegistry(zones []string) *Registry {
	registry := &Registry{
		zoneIndexes:  map[string]int{},
		numbers:      map[string]uint32{},
		addresses:    map[uint32]string{},
		listedStarts: map[string]float64{},
		endpoints:    map[string]scheduler.Endpoint{},
		drains:       rememberedDrains{},
	}
	for index, name := range zones {
		registry.zoneIndexes[name] = index
	}
	return registry
}

// SetSuspender sets the source of suspensions. Suspended backends appear as draining even if the list says that they
// are ready. Without a suspender, no backend is suspended.
func (r *Registry) SetSuspender(suspender Suspender) { r.suspender = suspender }

// Endpoint returns a listed backend as the scheduler's endpoint, with its suspension applied. If the backend is not
// listed, ok is false and the endpoint is meaningless.
func (r *Registry) Endpoint(id string) (endpoint scheduler.Endpoint, ok bool) {
	endpoint, ok = r.endpoints[id]
	return r.applySuspension(id, endpoint), ok
}

// ReplicaNumber returns the number of a listed backend; ok is false for one that is not listed.
func (r *Registry) ReplicaNumber(id string) (number uint32, ok bool) {
	_, ok = r.listedStarts[id]
	return r.numbers[id], ok
}

// Address returns the IP address and port of a backend, or "" if it is not listed.
func (r *Registry) Address(number uint32) string { return r.addresses[number] }

// Len returns the number of backends that are listed as ready or draining.
func (r *Registry) Len() int { return len(r.listedStarts) }

// Apply applies a validated list and returns its endpoints, including removed ones, as the scheduler's endpoints.
// clockOffsetMs is the loop's clock minus Unix time, in ms.
func (r *Registry) Apply(list EndpointList, clockOffsetMs float64) []scheduler.Endpoint {
	if list.Complete {
		r.rememberAbsent(list)
		clear(r.listedStarts)
	}
	endpoints := make([]scheduler.Endpoint, 0, len(list.Endpoints))
	for _, record := range list.Endpoints {
		endpoint := scheduler.Endpoint{
			Replica:   r.assignNumber(record.ID),
			Cell:      record.Cell,
			Zone:      r.zoneIndexes[record.Zone],
			StartedAt: record.startedAtMs(clockOffsetMs),
			State:     r.drains.resolveState(record, list.Revision),
		}
		r.store(record, endpoint)
		endpoints = append(endpoints, r.applySuspension(record.ID, endpoint))
	}
	r.forgetUnlisted()
	return endpoints
}

// store records that a backend of an applied list is listed, or no longer listed if its state is Removed.
func (r *Registry) store(record EndpointRecord, endpoint scheduler.Endpoint) {
	if endpoint.State == scheduler.Removed {
		delete(r.listedStarts, record.ID)
		return
	}
	r.listedStarts[record.ID] = record.StartedAtUnixMs
	r.addresses[endpoint.Replica] = record.Address
	r.endpoints[record.ID] = endpoint
	if r.suspender != nil {
		r.suspender.EndpointListed(record.ID)
	}
}

// rememberAbsent remembers a drain for each listed backend that a full list no longer contains.
func (r *Registry) rememberAbsent(list EndpointList) {
	present := make(map[string]bool, len(list.Endpoints))
	for _, record := range list.Endpoints {
		present[record.ID] = true
	}
	for id, startedAtUnixMs := range r.listedStarts {
		if !present[id] {
			r.drains.remember(id, drain{startedAtUnixMs, list.Revision})
		}
	}
}

// forgetUnlisted deletes the entries of backends that are not listed, since backends keep joining under new IDs. A
// backend that returns gets its old number again unless another ID with the same hash has taken it.
func (r *Registry) forgetUnlisted() {
	for id, number := range r.numbers {
		if _, ok := r.listedStarts[id]; !ok {
			delete(r.numbers, id)
			delete(r.addresses, number)
			delete(r.endpoints, id)
		}
	}
}

// assignNumber returns the replica number of a backend. The number depends on the ID alone unless two hashes collide:
// the schedulers of all brokers rely on the same numbers to coordinate without messages.
func (r *Registry) assignNumber(id string) uint32 {
	if number, ok := r.numbers[id]; ok {
		return number
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	number := hash.Sum32()
	for r.isNumberTaken(number) {
		number++
	}
	r.numbers[id] = number
	r.addresses[number] = "" // marks the number as taken until store sets the address
	return number
}

func (r *Registry) isNumberTaken(number uint32) bool {
	_, taken := r.addresses[number]
	return taken
}

// applySuspension returns a ready endpoint as draining if its backend is suspended, and any other endpoint unchanged.
func (r *Registry) applySuspension(id string, endpoint scheduler.Endpoint) scheduler.Endpoint {
	if r.suspender != nil && endpoint.State == scheduler.Ready && r.suspender.Suspended(id) {
		endpoint.State = scheduler.Draining
	}
	return endpoint
}
