package adminclient

import "net/http"

// Call is one call to the admin API.
type Call struct {
	// Name is the name of the command: ready, suspend, resume, drain or activate.
	Name string
	// ID is the id of the backend; empty for a call that is not about a backend. It must be valid (see
	// maintenance.ValidID).
	ID string

	method string
	path   string
}

var (
	// Ready asks whether the process is ready to serve.
	Ready = Call{Name: "ready", method: http.MethodGet, path: "/v1/readyz"}
	// Drain starts a drain: clients are made to go to other brokers.
	Drain = Call{Name: "drain", method: http.MethodPut, path: "/v1/aggregator/drain"}
	// Activate ends a drain.
	Activate = Call{Name: "activate", method: http.MethodPut, path: "/v1/aggregator/activate"}
)

// Suspend returns the call that takes the backend id out of service.
func Suspend(id string) Call { return backendCall("suspend", id) }

// Resume returns the call that puts the backend id back into service.
func Resume(id string) Call { return backendCall("resume", id) }

func backendCall(name, id string) Call {
	return Call{Name: name, ID: id, method: http.MethodPut, path: "/v1/leafs/" + id + "/" + name}
}
