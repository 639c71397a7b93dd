package httpfront

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/core"
)

// TestShutdown checks that, once the listener is closed, a connection closes after its next answer, CloseIdle closes
// an idle connection, and an incomplete request is rejected after shutdownRequestTimeoutMs.
func TestShutdown(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	idle, busy, incomplete, active := f.dial(t), f.dial(t), f.dial(t), f.dial(t)
	send(t, busy, query+query)
	first := f.waitRequest(t, f.submitted)
	send(t, incomplete, "GET /_health HT")
	f.onLoop(f.server.StopListening)
	_, err := net.Dial("tcp", f.address)
	assert.Error(t, err, "the listener is closed")

	// A connection ends after its next answer, unless requests have been read behind the answered one.
	send(t, active, "GET /_health HTTP/1.1\r\n\r\n")
	assert.Contains(t, readAll(t, active), "\r\nConnection: close\r\n")
	f.onLoop(func() { first.Client.Deliver(core.Answer{Kind: core.Failed}) })
	second := f.waitRequest(t, f.submitted)
	f.onLoop(func() { second.Client.Deliver(core.Answer{Kind: core.Rejected}) })
	assert.Equal(t, []string{"HTTP/1.1 502", "HTTP/1.1 503"}, readStatuses(t, busy))

	f.onLoop(f.server.CloseIdle)
	assert.Empty(t, readAll(t, idle))
	f.onLoop(func() {
		_, serving := f.server.ConnectionCounts()
		assert.Equal(t, 1, serving, "the incomplete request may still arrive")
	})
	time.Sleep((shutdownRequestTimeoutMs + 100) * time.Millisecond)
	f.onLoop(f.server.CloseIdle)
	assert.Contains(t, readAll(t, incomplete), `{"error":"the program ends, and the request did not come whole"}`)
}

// TestCloseIdleReadsFirst guards against losing a request that has arrived but has not been read when CloseIdle is
// called.
func TestCloseIdleReadsFirst(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	f.onLoop(func() {
		f.server.CloseAfterResponse(true)
		send(t, connection, "GET /_health HTTP/1.1\r\n\r\n")
		time.Sleep(20 * time.Millisecond)
		f.server.CloseIdle()
	})
	assert.Contains(t, readAll(t, connection), "\r\nConnection: close\r\n")
}
