package httpfront

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
)

func TestContinueIsSentOnce(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	send(t, connection, strings.TrimSuffix(strings.Replace(query, "X-Tenant", "Expect: 100-continue\r\nX-Tenant", 1), queryBody))
	interim, err := io.ReadAll(io.LimitReader(connection, int64(len(continueResponse))))
	require.NoError(t, err)
	assert.Equal(t, continueResponse, string(interim))
	for _, part := range strings.SplitAfter(queryBody, ",") {
		send(t, connection, part)
		f.onLoop(func() {})
	}
	r := f.waitRequest(t, f.submitted)
	send(t, connection, "GET /_health HTTP/1.0\r\n\r\n")
	f.onLoop(func() { r.Client.Deliver(core.Answer{Kind: core.Failed}) })
	assert.True(t, strings.HasPrefix(readAll(t, connection), "HTTP/1.1 502 Bad Gateway\r\n"))
}

func TestBufferLimit(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: -1})
	answer := f.exchange(t, "GET /_health HT")
	assert.True(t, strings.HasPrefix(answer, "HTTP/1.1 503 Service Unavailable\r\n"))
	assert.Contains(t, answer, "\r\nRetry-After: 1.000\r\nConnection: close\r\n")
	f.waitLog(t, `"code":"C04"`)
	f.onLoop(func() { assert.Zero(t, f.server.bufferedBytes) })
}

// TestInputAfterLastRequest guards against losing the last answer of a connection: closing the connection with unread
// input would reset it.
func TestInputAfterLastRequest(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	answer := f.exchange(t, "GET /_health HTTP/1.0\r\n\r\n"+strings.Repeat("x", maxLingerBytes/2))
	assert.True(t, strings.HasSuffix(answer, bodyServing))
}
