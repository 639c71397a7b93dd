package discovery

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

func TestParseEndpointList(t *testing.T) {
	list, err := ParseEndpointList([]byte(`{"revision":43,"complete":true,"members":[{"id":"s-1",` +
		`"host_port":"10.1.0.18:8080","locality":"a","flavor":"m2","cell":3,"phase":"DRAINING","size":1.0,` +
		`"up_since_ms":1700000000000}]}`))
	require.NoError(t, err)
	assert.Equal(t, EndpointList{Revision: 43, Complete: true, Endpoints: []EndpointRecord{{ID: "s-1",
		Address: "10.1.0.18:8080", Zone: "a", Cell: 3, Phase: "DRAINING", Size: 1, StartedAtUnixMs: 1700000000000}}}, list)
	assert.Equal(t, scheduler.Draining, list.Endpoints[0].state())
}

func TestParseEndpointListRejects(t *testing.T) {
	for name, text := range map[string]string{
		"truncated JSON":          `{"revision":`,
		"no ID":                   `{"members":[{"host_port":"10.1.0.18:8080","phase":"SERVING"}]}`,
		"negative cell":           `{"members":[{"id":"s-1","host_port":"10.1.0.18:8080","cell":-1,"phase":"SERVING"}]}`,
		"unknown phase":           `{"members":[{"id":"s-1","host_port":"10.1.0.18:8080","phase":"ASLEEP"}]}`,
		"host name":               `{"members":[{"id":"s-1","host_port":"backend:8080","phase":"SERVING"}]}`,
		"draining, no IP":         `{"members":[{"id":"s-1","host_port":"","phase":"DRAINING"}]}`,
		"invalid second endpoint": `{"members":[{"id":"s-1","phase":"DELETED"},{"id":"s-2","phase":"SERVING"}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := ParseEndpointList([]byte(text))
			assert.ErrorIs(t, err, errMalformedList)
		})
	}
	_, err := ParseEndpointList([]byte(`{"members":[{"id":"s-1","phase":"DELETED"}]}`))
	assert.NoError(t, err, "the address of a removed backend is optional")
}

func TestUpdateKind(t *testing.T) {
	assert.Equal(t, scheduler.UpdateFull, EndpointList{Complete: true}.updateKind())
	assert.Equal(t, scheduler.UpdateDelta, EndpointList{}.updateKind())
}

func TestStartedAtMs(t *testing.T) {
	for name, c := range map[string]struct{ startedAtUnixMs, clockOffsetMs, want float64 }{
		"long ago":                     {0, -500, 0},
		"after the clock's origin":     {1700, -500, 1200},
		"before the clock's origin":    {400, -500, 1},
		"exactly at the clock's start": {500, -500, 1},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, c.want, EndpointRecord{StartedAtUnixMs: c.startedAtUnixMs}.startedAtMs(c.clockOffsetMs))
		})
	}
}
