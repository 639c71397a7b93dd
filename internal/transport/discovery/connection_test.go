package discovery

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/endpointpoll"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/loopback"
)

func TestRequestTarget(t *testing.T) {
	assert.Equal(t, "/catalog/members", requestTarget(endpointpoll.Call{FullList: true, SinceRevision: 41, Wait: 100}))
	assert.Equal(t, "/catalog/members?index=41&wait=100", requestTarget(endpointpoll.Call{SinceRevision: 41, Wait: 100}))
	assert.Equal(t, "/catalog/members?index=0&wait=62", requestTarget(endpointpoll.Call{Wait: 62.4}),
		"the wait is rounded to whole ms")
}

// newRawDiscovery starts a server that reads one call on each connection, writes response and closes the connection.
// It returns the server's address.
func newRawDiscovery(t *testing.T, response string) string {
	t.Helper()
	listener, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(response))
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestEndOfConnection: a list is applied only if its response was complete when the service closed the connection.
func TestEndOfConnection(t *testing.T) {
	body, err := json.Marshal(fullList(41, ready("s-1", "10.1.0.18:8080")))
	require.NoError(t, err)
	sized := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	untilClose := "HTTP/1.1 200 OK\r\n\r\n" + string(body)
	for name, c := range map[string]struct {
		response string
		want     scheduler.UpdateKind
	}{
		"no response":                         {"", scheduler.UpdateFailed},
		"half of a header":                    {"HTTP/1.1 2", scheduler.UpdateFailed},
		"half of a sized response":            {sized[:len(sized)-5], scheduler.UpdateFailed},
		"half of a response without a length": {untilClose[:len(untilClose)-5], scheduler.UpdateFailed},
		"a response and half of another":      {sized + "HTTP/1.1 2", scheduler.UpdateFull},
		"a response without a length":         {untilClose, scheduler.UpdateFull},
		"a sized response":                    {sized, scheduler.UpdateFull},
		"a header beyond the limit": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxResponseBytes),
			scheduler.UpdateFailed},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, newRawDiscovery(t, c.response), endpointpoll.Options{})
			h.watcher.Watch()
			h.runUntil(t, func() bool { return len(h.core.kinds) > 0 })
			assert.Equal(t, c.want, h.core.kinds[0])
		})
	}
}
