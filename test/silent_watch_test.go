package test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	notifiedAfterSilence = 6 * time.Second         // what a silent watch misses counts as notified by then
	drainGraceOnSockets  = 1050 * time.Millisecond // time limit of the platform on sockets
	discoveryCallLimit   = 2 * time.Second         // a call that waits longer fails
)

// failLate answers a call 503 when it has waited for the limit of discovery.
func failLate(c *net.TCPConn) {
	time.Sleep(discoveryCallLimit)
	failAtOnce(c)
}

func failAtOnce(c *net.TCPConn) {
	_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
}

// TestDrainDuringSilentWatchAndFailedCall has a watch fall silent when it is opened, a backend drain, and the next call
// fail in several ways, for the first and the last broker of fleets. Guards against a poll whose time limits add up to
// more than the drain grace.
func TestDrainDuringSilentWatchAndFailedCall(t *testing.T) {
	for name, fail := range map[string]func(*net.TCPConn){"late": failLate, "at once": failAtOnce, "reset": resetTCP,
		"silent": keepOpen} {
		for _, broker := range []struct{ index, count int }{{0, 1}, {29, 30}, {299, 300}} {
			t.Run(fmt.Sprintf("%s, broker %d of %d", name, broker.index, broker.count), func(t *testing.T) {
				t.Parallel()
				requireDrainInTime(t, fail, broker.index, broker.count)
			})
		}
	}
}

// requireDrainInTime plays the silent watch and a failing call, under load. It requires that the draining backend gets
// attempts before, and none after its grace.
func requireDrainInTime(t *testing.T, fail func(*net.TCPConn), index, count int) {
	t.Helper()
	backends := startBackends(t, protocols[0], nil)
	current := listText(42, true, backends.endpoints)
	draining := listText(43, true, secondDraining(backends))
	d := newScriptedDiscovery(t, respond(contentLength(current), current), keepOpen, fail,
		respond(contentLength(draining), draining), keepOpen)
	p := startWithList(t, d, endpointList{41, true, backends.endpoints}, count, index)
	waitUntilServing(t, p)
	d.waitForCalls(t, 2)
	silentAt := d.recordedCalls()[1].at
	end := silentAt.Add(notifiedAfterSilence + drainGraceOnSockets + time.Second)
	var clients sync.WaitGroup
	for client := range 2 {
		clients.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				sendHTTP(context.Background(), p, request{id: fmt.Sprintf("q%d-%d", client, n), class: "quote",
					tenant: "gangasagar-life", shards: []int{n % 8}, timeout: time.Second})
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	assert.Positive(t, attemptsSince(backends, "s-1", silentAt))
	assert.Zero(t, attemptsSince(backends, "s-1", silentAt.Add(notifiedAfterSilence+drainGraceOnSockets)))
	for _, call := range d.recordedCalls()[2:] {
		t.Logf("%s %v after the watch fell silent", call.target, call.at.Sub(silentAt).Round(time.Millisecond))
	}
}
