package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"ternstage/internal/decision/scheduler"
)

// EndpointList mirrors the list on the wire.
type EndpointList struct {
	// Revision is the version of the list. It increases while the service runs and may continue from any value after
	// the service has restarted.
	Revision uint64 `json:"revision"`
	// Complete reports whether Endpoints is the full list; otherwise it holds only the endpoints that have changed.
	Complete bool `json:"complete"`
	// Endpoints are the listed backends, in no particular order.
	Endpoints []EndpointRecord `json:"members"`
}

// EndpointRecord mirrors one backend of the list on the wire.
type EndpointRecord struct {
	// ID names the backend; it is the same at every broker.
	ID string `json:"id"`
	// Address is the IP address and port at which this broker reaches the backend; it may differ between brokers.
	Address string `json:"host_port"`
	// Zone is the name of the backend's zone; an unknown name counts as the first zone of the settings.
	Zone string `json:"locality"`
	// Cell is the index of the backend's cell, from 0.
	Cell int `json:"cell"`
	// Phase is the backend's state: SERVING, DRAINING or, only among changes, DELETED.
	Phase string `json:"phase"`
	// Size is the relative capacity of the backend; brokers do not use it.
	Size float64 `json:"size"`
	// StartedAtUnixMs is the start time of the backend's process as Unix time in ms; 0 means long ago.
	StartedAtUnixMs float64 `json:"up_since_ms"`
}

var errMalformedList = errors.New("malformed endpoint list")

var stateOfPhase = map[string]scheduler.ReplicaState{
	"SERVING":  scheduler.Ready,
	"DRAINING": scheduler.Draining,
	"DELETED":  scheduler.Removed,
}

// ParseEndpointList decodes and validates a list. The error names the first invalid endpoint.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var list EndpointList
	if err := json.Unmarshal(text, &list); err != nil {
		return EndpointList{}, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	return list, list.Validate()
}

// Validate returns an error that names the first endpoint without an ID, with a negative cell, an unknown phase or,
// in any phase but DELETED, an address that is no IP address and port.
func (l EndpointList) Validate() error {
	for _, record := range l.Endpoints {
		if _, ok := stateOfPhase[record.Phase]; !ok || record.ID == "" || record.Cell < 0 {
			return fmt.Errorf("%w: endpoint %q, cell %d, phase %q: want an id, a cell of at least 0 and a known phase",
				errMalformedList, record.ID, record.Cell, record.Phase)
		}
		if _, err := netip.ParseAddrPort(record.Address); err != nil && record.state() != scheduler.Removed {
			return fmt.Errorf("%w: endpoint %q: %w", errMalformedList, record.ID, err)
		}
	}
	return nil
}

// updateKind returns whether a list from discovery is the full list or a delta.
func (l EndpointList) updateKind() scheduler.UpdateKind {
	if l.Complete {
		return scheduler.UpdateFull
	}
	return scheduler.UpdateDelta
}

// state returns the replica state that corresponds to the record's phase.
func (r EndpointRecord) state() scheduler.ReplicaState { return stateOfPhase[r.Phase] }

// startedAtMs converts the start time to the loop's clock, which is Unix time plus clockOffsetMs. The result is 0 if
// the backend started long ago, and positive otherwise.
func (r EndpointRecord) startedAtMs(clockOffsetMs float64) float64 {
	if r.StartedAtUnixMs <= 0 {
		return 0
	}
	return max(r.StartedAtUnixMs+clockOffsetMs, 1)
}
