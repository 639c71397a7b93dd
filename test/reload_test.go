package test

import (
	"context"
	"encoding/json"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// reload replaces the configuration file and sends SIGHUP.
func (p *program) reload(text []byte) {
	require.NoError(p.t, os.WriteFile(p.configPath+".new", text, 0o600))
	require.NoError(p.t, os.Rename(p.configPath+".new", p.configPath))
	require.NoError(p.t, p.Process.Signal(syscall.SIGHUP))
}

// TestReload sends SIGHUP. Discovery must move to the address in the configuration file, at once and for good, and an
// unusable file must change nothing. Guards against the default action of the signal, which ends the program, and
// against late answers on the old connection.
func TestReload(t *testing.T) {
	backends, p := startWithBackends(t, nil, options{})
	first, second, third := p.discovery, newDiscovery(t, backends.endpoints), newDiscovery(t, backends.endpoints)
	second.list.Revision, third.list.Revision = 7, 3 // another service may count from another revision
	requireOneServed := func(id string) {
		a := sendHTTP(context.Background(), p, request{id: id, class: "quote", tenant: "gangasagar-life",
			shards: []int{1}, timeout: time.Second})
		require.Equal(t, "served", a.outcome, p.logged())
	}
	calls := func(d *discoveryServer) []string { d.mu.Lock(); defer d.mu.Unlock(); return d.targets }
	require.Eventually(t, func() bool { return len(calls(first)) == 1 }, waitTimeout, time.Millisecond)

	text, err := os.ReadFile(p.configPath)
	require.NoError(t, err)
	configFor := func(d *discoveryServer) []byte {
		var m map[string]any
		require.NoError(t, json.Unmarshal(text, &m))
		m["discovery"] = d.addr
		out, err := json.Marshal(m)
		require.NoError(t, err)
		return out
	}
	for _, bad := range []string{"", "{", `{"discovery":"` + second.addr + `"}`} {
		p.reload([]byte(bad))
	}
	p.waitForLog(`"reload failed: the old configuration stays","broker":"n0","error":"name: missing"`)
	requireOneServed("old")
	require.Empty(t, calls(second))

	p.reload(configFor(second))
	require.Eventually(t, func() bool { return len(calls(second)) == 2 }, waitTimeout, time.Millisecond)
	assert.Equal(t, []string{"/catalog/members", "/catalog/members?index=7&wait=3000"}, calls(second))
	first.change(func() { first.list.Endpoints = nil }) // must reach nobody
	_ = first.Close()
	requireOneServed("second")

	for range 3 {
		p.reload(configFor(third))
		p.reload(configFor(second))
	}
	p.reload(configFor(third))
	require.Eventually(t, func() bool { return len(calls(third)) >= 2 }, waitTimeout, time.Millisecond)
	since := time.Now()
	third.change(func() { third.list.Endpoints = third.list.Endpoints[:2] })
	require.Eventually(t, func() bool { return third.answeredSince(since) }, waitTimeout, time.Millisecond)
	requireOneServed("third")
	assert.Equal(t, 200, p.healthStatus())
	p.reload(configFor(second))
	p.stop()
	assert.Equal(t, 1, len(calls(first)), "the old address was called again")
}
