package discovery

import (
	"hash/fnv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

func ready(id, address string) EndpointRecord {
	return EndpointRecord{ID: id, Address: address, Phase: "SERVING"}
}

func fullList(revision uint64, records ...EndpointRecord) EndpointList {
	return EndpointList{Revision: revision, Complete: true, Endpoints: records}
}

func change(revision uint64, records ...EndpointRecord) EndpointList {
	return EndpointList{Revision: revision, Endpoints: records}
}

// fakeSuspender suspends the backends of its set and records which were listed.
type fakeSuspender struct {
	suspended map[string]bool
	listed    []string
}

func (s *fakeSuspender) EndpointListed(id string) { s.listed = append(s.listed, id) }
func (s *fakeSuspender) Suspended(id string) bool { return s.suspended[id] }

// TestApplyTranslates: zones become indexes, start times are converted to the loop's clock, and numbers depend on the
// ID alone.
func TestApplyTranslates(t *testing.T) {
	registry := NewRegistry([]string{"salt-lake", "howrah"})
	record := EndpointRecord{ID: "s-1", Address: "10.1.0.18:8080", Zone: "howrah", Cell: 3, Phase: "DRAINING",
		StartedAtUnixMs: 5000}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte("s-1"))
	want := scheduler.Endpoint{Replica: hash.Sum32(), Cell: 3, Zone: 1, StartedAt: 4000, State: scheduler.Draining}

	assert.Equal(t, []scheduler.Endpoint{want}, registry.Apply(fullList(41, record), -1000))
	assert.Equal(t, 1, registry.Len())
	assert.Equal(t, "10.1.0.18:8080", registry.Address(want.Replica))
	endpoint, ok := registry.Endpoint("s-1")
	assert.True(t, ok)
	assert.Equal(t, want, endpoint)
	number, ok := registry.ReplicaNumber("s-1")
	assert.True(t, ok)
	assert.Equal(t, want.Replica, number)
}

// TestApplyRemoves: a backend that a change removes, or that is missing from a full list, has no number, address or
// endpoint.
func TestApplyRemoves(t *testing.T) {
	for name, list := range map[string]EndpointList{
		"removed by a change":      change(42, EndpointRecord{ID: "s-1", Phase: "DELETED"}),
		"absent from a full list":  fullList(42, ready("s-2", "10.1.0.19:8080")),
		"removed from a full list": fullList(42, EndpointRecord{ID: "s-1", Phase: "DELETED"}, ready("s-2", "10.1.0.19:8080")),
	} {
		t.Run(name, func(t *testing.T) {
			registry := NewRegistry(nil)
			registry.Apply(fullList(41, ready("s-1", "10.1.0.18:8080"), ready("s-2", "10.1.0.19:8080")), 0)
			number, ok := registry.ReplicaNumber("s-1")
			require.True(t, ok)

			registry.Apply(list, 0)
			assert.Equal(t, 1, registry.Len())
			assert.Empty(t, registry.Address(number))
			_, ok = registry.ReplicaNumber("s-1")
			assert.False(t, ok)
			_, ok = registry.Endpoint("s-1")
			assert.False(t, ok)
		})
	}
}

// TestAbsentBackendStaysDrained: a backend that is missing from a full list is drained, and an older list does not
// undo that.
func TestAbsentBackendStaysDrained(t *testing.T) {
	registry := NewRegistry(nil)
	registry.Apply(fullList(41, ready("s-1", "10.1.0.18:8080")), 0)
	registry.Apply(fullList(43, ready("s-2", "10.1.0.19:8080")), 0)
	endpoints := registry.Apply(change(42, ready("s-1", "10.1.0.18:8080")), 0)
	require.Len(t, endpoints, 1)
	assert.Equal(t, scheduler.Draining, endpoints[0].State)
	endpoints = registry.Apply(change(44, ready("s-1", "10.1.0.18:8080")), 0)
	assert.Equal(t, scheduler.Ready, endpoints[0].State)
}

// TestNumbersDoNotCollide: a backend whose number is taken gets the next free one and keeps it.
func TestNumbersDoNotCollide(t *testing.T) {
	registry := NewRegistry(nil)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte("s-1"))
	registry.addresses[hash.Sum32()] = "10.1.0.17:8080"
	endpoints := registry.Apply(change(41, ready("s-1", "10.1.0.18:8080")), 0)
	assert.Equal(t, hash.Sum32()+1, endpoints[0].Replica)
	assert.Equal(t, endpoints[0].Replica, registry.Apply(change(42, ready("s-1", "10.1.0.18:8080")), 0)[0].Replica)
}

// TestSuspension: a suspended backend appears as draining without being remembered as drained.
func TestSuspension(t *testing.T) {
	registry := NewRegistry(nil)
	suspender := &fakeSuspender{suspended: map[string]bool{"s-1": true}}
	registry.SetSuspender(suspender)
	removed := EndpointRecord{ID: "s-3", Phase: "DELETED"}
	endpoints := registry.Apply(change(41, ready("s-1", "10.1.0.18:8080"), ready("s-2", "10.1.0.19:8080"), removed), 0)
	assert.Equal(t, scheduler.Draining, endpoints[0].State)
	assert.Equal(t, scheduler.Ready, endpoints[1].State)
	assert.Equal(t, scheduler.Removed, endpoints[2].State)
	assert.Equal(t, []string{"s-1", "s-2"}, suspender.listed)

	suspender.suspended = nil
	endpoint, ok := registry.Endpoint("s-1")
	assert.True(t, ok)
	assert.Equal(t, scheduler.Ready, endpoint.State)
}
