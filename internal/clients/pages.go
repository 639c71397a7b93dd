package clients

import (
	"encoding/json"

	"ternstage/internal/contract"
)

type contractsBody struct {
	Classes []contract.Class  `json:"classes"`
	Tenants []contract.Tenant `json:"tenants"`
	Taken   map[string]uint64 `json:"taken"`
}

// contracts shows the teams what was agreed and what has been taken under it.
func (s *Server) contracts() []byte {
	b := contractsBody{Classes: s.book.Classes, Tenants: s.book.Tenants, Taken: map[string]uint64{}}
	for i, t := range s.book.Tenants {
		b.Taken[t.Name] = s.book.AcceptedByTenant[i]
	}
	text, err := json.Marshal(b)
	if err != nil {
		return errorBody(err)
	}
	return text
}

func errorBody(err error) []byte {
	text, _ := json.Marshal(map[string]string{"error": err.Error()})
	return text
}
