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

// reload replaces the program's file and tells it so.
func (p *program) reload(text []byte) {
	require.NoError(p.t, os.WriteFile(p.config+".new", text, 0o600))
	require.NoError(p.t, os.Rename(p.config+".new", p.config))
	require.NoError(p.t, p.Process.Signal(syscall.SIGHUP))
}

// TestReload: SIGHUP moves discovery to the address that the file names, at once and for good, and a file that
// cannot be used changes nothing. Guards against the signal's default action, which ends the program, and against
// late words of the old connection.
func TestReload(t *testing.T) {
	ns, p := site(t, nil, options{})
	first, second, third := p.discovery, newDiscovery(t, ns.members), newDiscovery(t, ns.members)
	second.list.Revision, third.list.Revision = 7, 3 // versions need not be the same there
	served := func(id string) {
		a := askHTTP(context.Background(), p, query{id: id, class: "quote", tenant: "gangasagar-life",
			shards: []int{1}, wait: time.Second})
		require.Equal(t, "served", a.end, p.logged())
	}
	calls := func(d *discovery) []string { d.mu.Lock(); defer d.mu.Unlock(); return d.targets }
	require.Eventually(t, func() bool { return len(calls(first)) == 1 }, patience, time.Millisecond)

	text, err := os.ReadFile(p.config)
	require.NoError(t, err)
	at := func(d *discovery) []byte {
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
	p.waitLog(`"reload failed: the old configuration stays","broker":"n0","error":"name: missing"`)
	served("old")
	require.Empty(t, calls(second))

	p.reload(at(second))
	require.Eventually(t, func() bool { return len(calls(second)) == 2 }, patience, time.Millisecond)
	assert.Equal(t, []string{"/catalog/members", "/catalog/members?index=7&wait=3000"}, calls(second))
	first.change(func() { first.list.Members = nil }) // told to nobody
	_ = first.Close()
	served("second")

	for range 3 {
		p.reload(at(third))
		p.reload(at(second))
	}
	p.reload(at(third))
	require.Eventually(t, func() bool { return len(calls(third)) >= 2 }, patience, time.Millisecond)
	since := time.Now()
	third.change(func() { third.list.Members = third.list.Members[:2] })
	require.Eventually(t, func() bool { return third.toldSince(since) }, patience, time.Millisecond)
	served("third")
	assert.Equal(t, 200, p.health())
	p.reload(at(second))
	p.stop()
	assert.Equal(t, 1, len(calls(first)), "the old address is asked no more")
}
