package adminclient

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestCalls(t *testing.T) {
	for _, c := range []struct {
		call                   Call
		name, id, method, path string
	}{
		{Ready, "ready", "", "GET", "/v1/readyz"},
		{Drain, "drain", "", "PUT", "/v1/aggregator/drain"},
		{Activate, "activate", "", "PUT", "/v1/aggregator/activate"},
		{Suspend("s-1"), "suspend", "s-1", "PUT", "/v1/leafs/s-1/suspend"},
		{Resume("s-1"), "resume", "s-1", "PUT", "/v1/leafs/s-1/resume"},
	} {
		assert.Equal(t, Call{Name: c.name, ID: c.id, method: c.method, path: c.path}, c.call)
	}
}
