package httpfront

import (
	"encoding/json"
	"net/http"

	"ternstage/internal/contract"
)

// healthResponse returns the response to a health check.
func (s *Server) healthResponse() httpResponse {
	if !s.Healthy() {
		return httpResponse{status: http.StatusServiceUnavailable, body: []byte(bodyNotServing)}
	}
	return httpResponse{status: http.StatusOK, body: []byte(bodyServing)}
}

// contractsBody is the JSON document of the contracts page.
type contractsBody struct {
	Classes          []contract.Class  `json:"classes"`
	Tenants          []contract.Tenant `json:"tenants"`
	AcceptedByTenant map[string]uint64 `json:"taken"`
}

// contractsPage returns the contracts with clients and the number of accepted queries of each tenant, as JSON.
func (s *Server) contractsPage() []byte {
	accepted := make(map[string]uint64, len(s.contracts.Tenants))
	for i, tenant := range s.contracts.Tenants {
		accepted[tenant.Name] = s.contracts.AcceptedByTenant[i]
	}
	body, err := json.Marshal(contractsBody{
		Classes:          s.contracts.Classes,
		Tenants:          s.contracts.Tenants,
		AcceptedByTenant: accepted,
	})
	if err != nil {
		return errorResponse(err).body
	}
	return body
}
