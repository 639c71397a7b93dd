package test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pushed starts a program whose list is pushed to an agent beside it.
func pushed(t *testing.T) (*nodes, *program) {
	s := settings()
	s["discovery"] = "pushed"
	return site(t, nil, options{settings: s})
}

// steady asks for all shards, one after another, until it is stopped, and gives how the queries ended.
func steady(t *testing.T, p *program) (stop func() map[string]int) {
	over, done := make(chan struct{}), make(chan map[string]int)
	go func() {
		ends := map[string]int{}
		defer func() { done <- ends }()
		for i := 0; ; i++ {
			select {
			case <-over:
				return
			default:
				a := askHTTP(t.Context(), p, query{id: fmt.Sprintf("steady-%d", i), class: "quote", tenant: "gangasagar-life",
					shards: []int{i % 8}, wait: 900 * time.Millisecond})
				ends[a.end]++
				time.Sleep(2 * time.Millisecond)
			}
		}
	}()
	return func() map[string]int { close(over); return <-done }
}

// TestPushedList: nobody tells the program of news, and the agent answers at once: it is read at a steady pace,
// without the whole list each time, and a drain that it has counts as told from then on.
func TestPushedList(t *testing.T) {
	ns, p := pushed(t)
	stop := steady(t, p)
	time.Sleep(300 * time.Millisecond)
	p.discovery.mu.Lock()
	first := len(p.discovery.calls)
	p.discovery.mu.Unlock()
	used := cpu(t, p.Process.Pid)
	p.discovery.change(func() { p.discovery.list.Members[2].Phase = "DRAINING" })
	told := time.Now()
	time.Sleep(2 * time.Second)
	p.discovery.mu.Lock()
	calls := len(p.discovery.calls) - first
	whole := 0
	for _, target := range p.discovery.targets[first:] {
		if !strings.Contains(target, "index=") {
			whole++
		}
	}
	p.discovery.mu.Unlock()
	assert.Less(t, sentTo(ns, "s-2", told.Add(time.Second)), 1, "nothing new 1 s after the agent had it")
	assert.InDelta(t, 20, calls, 6, "ten calls a second")
	assert.Zero(t, whole, "only what has changed is asked for")
	assert.Less(t, cpu(t, p.Process.Pid)-used, 700*time.Millisecond)
	ends := stop()
	assert.Equal(t, map[string]int{"served": ends["served"]}, ends)
	p.stop()
}

// TestAgentSilent: the agent is silent, then refuses, then is there again under a lower version. Serving goes on
// with the last list, a drain heard before holds, and what was told meanwhile is read at once.
func TestAgentSilent(t *testing.T) {
	ns, p := pushed(t)
	p.discovery.change(func() { p.discovery.list.Members[1].Phase = "DRAINING" })
	told := time.Now()
	require.Eventually(t, func() bool { return p.discovery.toldSince(told) }, patience, 5*time.Millisecond)
	stop := steady(t, p)
	p.discovery.mu.Lock()
	p.discovery.mute = true
	p.discovery.mu.Unlock()
	p.waitLog(`"code":"D07"`)
	p.discovery.change(func() { p.discovery.list.Members[2].Phase = "DRAINING" })
	time.Sleep(1200 * time.Millisecond)
	assert.Zero(t, sentTo(ns, "s-1", told.Add(time.Second)), "a drain that was heard holds")
	p.discovery.mu.Lock()
	p.discovery.mute = false
	p.discovery.list.Revision = 3 // it has started anew and counts from elsewhere
	p.discovery.mu.Unlock()
	told = time.Now()
	p.waitLog("discovery responds again")
	assert.Less(t, time.Since(told), 900*time.Millisecond, "patience and a period")
	time.Sleep(time.Until(told.Add(1500 * time.Millisecond)))
	assert.Zero(t, sentTo(ns, "s-2", told.Add(time.Second)), "what came while it was silent")
	ends := stop()
	assert.Equal(t, map[string]int{"served": ends["served"]}, ends, "the last list serves")
	p.stop()
	assert.Equal(t, 1, strings.Count(p.logged(), `"code":"D07"`), "one line a silence")
}

// TestWatchDoesNotSpin: a list service that answers a watch at once, with nothing new, is not called on and on.
func TestWatchDoesNotSpin(t *testing.T) {
	_, p := site(t, nil, options{})
	p.discovery.mu.Lock()
	p.discovery.agent = true
	first := len(p.discovery.calls)
	p.discovery.mu.Unlock()
	p.discovery.change(func() {}) // wakes the watch that is out
	time.Sleep(time.Second)
	p.discovery.mu.Lock()
	defer p.discovery.mu.Unlock()
	assert.InDelta(t, 50, len(p.discovery.calls)-first, 15)
}
