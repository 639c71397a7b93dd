package test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// notifiedWithin is the time after a change, or after the return of discovery, after which the broker counts as
// notified of the change.
const notifiedWithin = 6 * time.Second

// TestSuspensionInOutageKeepsPolling has operators suspend or resume a backend while discovery is down. After its
// return a drain must be learnt in time. Guards against a suspension that is taken for an update from discovery, so
// that discovery is never called again.
func TestSuspensionInOutageKeepsPolling(t *testing.T) {
	const suspend, resume = "/v1/leafs/s-3/suspend", "/v1/leafs/s-3/resume"
	for name, c := range map[string]struct {
		before, during string // calls before and during the outage
		atOther        bool   // the call during the outage goes to another process of the broker
	}{
		"suspend":                    {during: suspend},
		"resume":                     {before: suspend, during: resume},
		"suspend at another process": {during: suspend, atOther: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stateDir := t.TempDir()
			backends, p := startWithBackends(t, nil, options{adminAPI: true, stateDir: stateDir})
			other := start(t, options{adminAPI: true, stateDir: stateDir, endpoints: backends.endpoints})
			if c.before != "" {
				require.Equal(t, 200, adminCall(p, "PUT", c.before))
			}
			p.discovery.change(func() { p.discovery.unavailable = true })
			p.waitForLog(`"code":"D05"`)

			operated := p
			if c.atOther {
				operated = other
			}
			require.Equal(t, 200, adminCall(operated, "PUT", c.during))
			time.Sleep(100 * time.Millisecond) // past the time in which the other process learns of it

			p.discovery.change(func() {
				p.discovery.unavailable = false
				p.discovery.list.Endpoints = secondDraining(backends)
			})
			returnedAt := time.Now()
			require.Eventually(t, func() bool { return p.discovery.answeredSince(returnedAt) }, notifiedWithin,
				5*time.Millisecond, "discovery is not called after its return")
			time.Sleep(drainGrace)
			graceOverAt := time.Now()
			for i := range 16 {
				requireOutcome(t, p, fmt.Sprintf("after%d", i), "compare", "served")
				sendHTTP(context.Background(), p, request{id: fmt.Sprintf("all%d", i), class: "quote",
					tenant: "gangasagar-life", shards: []int{i % 8}, timeout: time.Second})
			}
			assert.Zero(t, attemptsSince(backends, "s-1", graceOverAt), "attempts at a backend that drains")
		})
	}
}
