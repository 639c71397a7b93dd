package adminapi

import (
	"net/http"
	"strconv"
	"strings"

	"ternstage/internal/decision/maintenance"
)

// Operations carries out operators' calls. The methods are called on the event loop and must not block; each is
// idempotent.
type Operations interface {
	// Ready reports whether the process is ready to serve.
	Ready() bool
	// Suspend takes the backend id out of service until it is resumed.
	Suspend(id string) maintenance.CallResult
	// Resume puts the backend id back into service.
	Resume(id string) maintenance.CallResult
	// Drain starts a drain: clients are made to go to other brokers.
	Drain() maintenance.CallResult
	// Activate ends a drain.
	Activate() maintenance.CallResult
}

const (
	pathReady     = "/v1/readyz"
	pathDrain     = "/v1/aggregator/drain"
	pathActivate  = "/v1/aggregator/activate"
	prefixBackend = "/v1/leafs/" // followed by ID/suspend or ID/resume
)

// route carries out the call with this method and path.
func (s *Server) route(method, path string) maintenance.CallResult {
	if path == pathReady {
		return s.answerReady(method)
	}
	operation := s.operationFor(path)
	if operation == nil {
		return maintenance.CallResult{Status: http.StatusNotFound, Reason: "no such call: " + strconv.Quote(path)}
	}
	if method != http.MethodPut {
		return maintenance.CallResult{Status: http.StatusMethodNotAllowed, Reason: "PUT only"}
	}
	return operation()
}

func (s *Server) answerReady(method string) maintenance.CallResult {
	switch {
	case method != http.MethodGet && method != http.MethodHead:
		return maintenance.CallResult{Status: http.StatusMethodNotAllowed, Reason: "GET only"}
	case !s.operations.Ready():
		return maintenance.CallResult{Status: http.StatusServiceUnavailable, Reason: "not ready"}
	}
	return maintenance.CallResult{Status: http.StatusOK, Reason: "ready"}
}

// operationFor returns the operation that path names, or nil if it names none.
func (s *Server) operationFor(path string) func() maintenance.CallResult {
	switch path {
	case pathDrain:
		return s.operations.Drain
	case pathActivate:
		return s.operations.Activate
	}
	rest, ok := strings.CutPrefix(path, prefixBackend)
	if !ok {
		return nil
	}
	id, verb, _ := strings.Cut(rest, "/")
	switch verb {
	case "suspend":
		return func() maintenance.CallResult { return s.operations.Suspend(id) }
	case "resume":
		return func() maintenance.CallResult { return s.operations.Resume(id) }
	}
	return nil
}
