package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
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

var errMalformedList = errors.New("the list cannot be used")

// ParseEndpointList reads a list and names what is wrong with it.
func ParseEndpointList(text []byte) (EndpointList, error) {
	var l EndpointList
	if err := json.Unmarshal(text, &l); err != nil {
		return EndpointList{}, fmt.Errorf("%w: %w", errMalformedList, err)
	}
	return l, l.Validate()
}

// Validate names the first member that cannot be.
func (l EndpointList) Validate() error {
	for _, m := range l.Endpoints {
		if _, ok := stateOfPhase[m.Phase]; !ok || m.ID == "" || m.Cell < 0 {
			return fmt.Errorf("%w: member %q, cell %d, phase %q", errMalformedList, m.ID, m.Cell, m.Phase)
		}
		if _, err := netip.ParseAddrPort(m.Address); err != nil && m.Phase != "DELETED" {
			return fmt.Errorf("%w: member %q: %w", errMalformedList, m.ID, err)
		}
	}
	return nil
}

var stateOfPhase = map[string]scheduler.ReplicaState{"SERVING": scheduler.Ready, "DRAINING": scheduler.Draining,
	"DELETED": scheduler.Removed}
