package clients

import (
	"encoding/json"

	"ternstage/internal/contract"
)

type contractsBody struct {
	Classes          []contract.Class  `json:"classes"`
	Tenants          []contract.Tenant `json:"tenants"`
	AcceptedByTenant map[string]uint64 `json:"taken"`
}

// contractsPage shows the teams what was agreed and what has been taken under it.
func (s *Server) contractsPage() []byte {
	b := contractsBody{Classes: s.contracts.Classes, Tenants: s.contracts.Tenants, AcceptedByTenant: map[string]uint64{}}
	for i, t := range s.contracts.Tenants {
		b.AcceptedByTenant[t.Name] = s.contracts.AcceptedByTenant[i]
	}
	text, err := json.Marshal(b)
	if err != nil {
		return errorResponse(err).body
	}
	return text
}
