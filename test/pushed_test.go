package test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// startWithAgent starts a program that reads its endpoint list from a local agent, to which lists are pushed.
func startWithAgent(t *testing.T) (*backendSet, *program) {
	s := settings()
	s["discovery"] = "pushed"
	return startWithBackends(t, nil, options{settings: s})
}

// startSteadyLoad sends requests for all shards, one after another, until it is stopped. stop returns the number of
// requests by outcome.
func startSteadyLoad(t *testing.T, p *program) (stop func() map[string]int) {
	stopped, result := make(chan struct{}), make(chan map[string]int)
	go func() {
		outcomes := map[string]int{}
		defer func() { result <- outcomes }()
		for i := 0; ; i++ {
			select {
			case <-stopped:
				return
			default:
				a := sendHTTP(t.Context(), p, request{id: fmt.Sprintf("steady-%d", i), class: "quote",
					tenant: "gangasagar-life", shards: []int{i % 8}, timeout: 900 * time.Millisecond})
				outcomes[a.outcome]++
				time.Sleep(2 * time.Millisecond)
			}
		}
	}()
	return func() map[string]int { close(stopped); return <-result }
}

// TestPushedList polls an agent that answers at once. The program must poll at a steady rate and ask only for
// changes, and a drain takes effect from the moment at which the agent has it.
func TestPushedList(t *testing.T) {
	backends, p := startWithAgent(t)
	stop := startSteadyLoad(t, p)
	time.Sleep(300 * time.Millisecond)
	p.discovery.mu.Lock()
	first := len(p.discovery.callTimes)
	p.discovery.mu.Unlock()
	used := cpuTime(t, p.Process.Pid)
	p.discovery.change(func() { p.discovery.list.Endpoints[2].Phase = "DRAINING" })
	changedAt := time.Now()
	time.Sleep(2 * time.Second)
	p.discovery.mu.Lock()
	calls := len(p.discovery.callTimes) - first
	completeCalls := 0
	for _, target := range p.discovery.targets[first:] {
		if !strings.Contains(target, "index=") {
			completeCalls++
		}
	}
	p.discovery.mu.Unlock()
	assert.Less(t, attemptsSince(backends, "s-2", changedAt.Add(time.Second)), 1,
		"a draining backend got an attempt 1 s after the agent had the drain")
	assert.InDelta(t, 20, calls, 6, "ten calls a second")
	assert.Zero(t, completeCalls, "the program asked for the complete list")
	assert.Less(t, cpuTime(t, p.Process.Pid)-used, 700*time.Millisecond)
	outcomes := stop()
	assert.Equal(t, map[string]int{"served": outcomes["served"]}, outcomes)
	p.stop()
}

// TestUnresponsiveAgent has the agent stop answering and come back with a lower revision. The last list must stay in
// use, a drain known before must hold, and a change made meanwhile must be read at once.
func TestUnresponsiveAgent(t *testing.T) {
	backends, p := startWithAgent(t)
	p.discovery.change(func() { p.discovery.list.Endpoints[1].Phase = "DRAINING" })
	since := time.Now()
	require.Eventually(t, func() bool { return p.discovery.answeredSince(since) }, waitTimeout, 5*time.Millisecond)
	stop := startSteadyLoad(t, p)
	p.discovery.mu.Lock()
	p.discovery.unresponsive = true
	p.discovery.mu.Unlock()
	p.waitForLog(`"code":"D07"`)
	p.discovery.change(func() { p.discovery.list.Endpoints[2].Phase = "DRAINING" })
	time.Sleep(1200 * time.Millisecond)
	assert.Zero(t, attemptsSince(backends, "s-1", since.Add(time.Second)), "a draining backend got an attempt")
	p.discovery.mu.Lock()
	p.discovery.unresponsive = false
	p.discovery.list.Revision = 3 // a restarted agent counts from another revision
	p.discovery.mu.Unlock()
	since = time.Now()
	p.waitForLog("discovery responds again")
	assert.Less(t, time.Since(since), 900*time.Millisecond, "the timeout of a call and one polling period")
	time.Sleep(time.Until(since.Add(1500 * time.Millisecond)))
	assert.Zero(t, attemptsSince(backends, "s-2", since.Add(time.Second)),
		"a backend that drained while the agent was unresponsive got an attempt")
	outcomes := stop()
	assert.Equal(t, map[string]int{"served": outcomes["served"]}, outcomes, "the last list is not in use")
	p.stop()
	assert.Equal(t, 1, strings.Count(p.logged(), `"code":"D07"`),
		"want one log line for each time the agent is unresponsive")
}

// TestWatchDoesNotSpin has discovery answer watches at once and without a change. The program must limit its rate of
// calls.
func TestWatchDoesNotSpin(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	p.discovery.mu.Lock()
	p.discovery.isAgent = true
	first := len(p.discovery.callTimes)
	p.discovery.mu.Unlock()
	p.discovery.change(func() {}) // answers the waiting watch
	time.Sleep(time.Second)
	p.discovery.mu.Lock()
	defer p.discovery.mu.Unlock()
	assert.InDelta(t, 50, len(p.discovery.callTimes)-first, 15)
}
