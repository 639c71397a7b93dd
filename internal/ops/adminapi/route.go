package adminapi

import (
	"strconv"
	"strings"

	"ternstage/internal/ops/maintenance"
)

// Operations carries out what operators ask. Each is called on the loop and must not wait.
type Operations interface {
	// Ready tells whether the process is ready to serve.
	Ready() bool
	Suspend(id string) maintenance.CallResult
	Resume(id string) maintenance.CallResult
	Drain() maintenance.CallResult
	Activate() maintenance.CallResult
}

// route answers a call that has come whole.
func (d *Server) route(method, path string) maintenance.CallResult {
	const leafs = "/v1/leafs/"
	put := func(do func() maintenance.CallResult) maintenance.CallResult {
		if method != "PUT" {
			return maintenance.CallResult{Status: 405, Reason: "PUT only"}
		}
		return do()
	}
	switch {
	case path == "/v1/readyz":
		if method != "GET" && method != "HEAD" {
			return maintenance.CallResult{Status: 405, Reason: "GET only"}
		}
		if d.operations.Ready() {
			return maintenance.CallResult{Status: 200, Reason: "ready"}
		}
		return maintenance.CallResult{Status: 503, Reason: "not ready"}
	case path == "/v1/aggregator/drain":
		return put(d.operations.Drain)
	case path == "/v1/aggregator/activate":
		return put(d.operations.Activate)
	case strings.HasPrefix(path, leafs):
		id, verb, ok := strings.Cut(path[len(leafs):], "/")
		switch {
		case ok && verb == "suspend":
			return put(func() maintenance.CallResult { return d.operations.Suspend(id) })
		case ok && verb == "resume":
			return put(func() maintenance.CallResult { return d.operations.Resume(id) })
		}
	}
	return maintenance.CallResult{Status: 404, Reason: "no such call: " + strconv.Quote(path)}
}
