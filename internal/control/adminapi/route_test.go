package adminapi

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/maintenance"
)

// recorder records the operations that are called and returns each call as the reason.
type recorder struct {
	ready bool
	calls []string
}

func (r *recorder) record(call string) maintenance.CallResult {
	r.calls = append(r.calls, call)
	return maintenance.CallResult{Status: 200, Reason: call}
}
func (r *recorder) Ready() bool                              { return r.ready }
func (r *recorder) Suspend(id string) maintenance.CallResult { return r.record("suspend " + id) }
func (r *recorder) Resume(id string) maintenance.CallResult  { return r.record("resume " + id) }
func (r *recorder) Drain() maintenance.CallResult            { return r.record("drain") }
func (r *recorder) Activate() maintenance.CallResult         { return r.record("activate") }

func TestRoute(t *testing.T) {
	for _, c := range []struct {
		method, path string
		ready        bool
		status       int
		reason       string
		called       []string
	}{
		{"GET", "/v1/readyz", true, 200, "ready", nil},
		{"HEAD", "/v1/readyz", true, 200, "ready", nil},
		{"GET", "/v1/readyz", false, 503, "not ready", nil},
		{"PUT", "/v1/readyz", true, 405, "GET only", nil},
		{"PUT", "/v1/leafs/s-1/suspend", true, 200, "suspend s-1", []string{"suspend s-1"}},
		{"PUT", "/v1/leafs/s-1/resume", true, 200, "resume s-1", []string{"resume s-1"}},
		{"PUT", "/v1/leafs//resume", true, 200, "resume ", []string{"resume "}},
		{"GET", "/v1/leafs/s-1/suspend", true, 405, "PUT only", nil},
		{"PUT", "/v1/leafs/s-1/stop", true, 404, `no such call: "/v1/leafs/s-1/stop"`, nil},
		{"PUT", "/v1/leafs/s-1/suspend/now", true, 404, `no such call: "/v1/leafs/s-1/suspend/now"`, nil},
		{"PUT", "/v1/leafs/suspend", true, 404, `no such call: "/v1/leafs/suspend"`, nil},
		{"PUT", "/v1/aggregator/drain", true, 200, "drain", []string{"drain"}},
		{"PUT", "/v1/aggregator/activate", true, 200, "activate", []string{"activate"}},
		{"POST", "/v1/aggregator/drain", true, 405, "PUT only", nil},
		{"GET", "/v2/readyz", true, 404, `no such call: "/v2/readyz"`, nil},
	} {
		operations := &recorder{ready: c.ready}
		s := &Server{operations: operations}
		result := s.route(c.method, c.path)
		assert.Equal(t, c.status, result.Status, "%s %s", c.method, c.path)
		assert.Equal(t, c.reason, result.Reason, "%s %s", c.method, c.path)
		assert.Equal(t, c.called, operations.calls, "%s %s", c.method, c.path)
	}
}
