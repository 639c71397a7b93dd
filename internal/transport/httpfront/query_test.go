package httpfront

import (
	"errors"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
)

func TestQueryAnswers(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	for _, c := range []struct {
		answer      core.Answer
		status, end string
	}{
		{core.Answer{Kind: core.Answered, Complete: true}, "200 OK", "\r\n\r\n" + `{"complete":true,"hits":[]}`},
		{core.Answer{Kind: core.Rejected, RetryAfter: 24.1}, "503 Service Unavailable", "\r\nRetry-After: 0.025\r\n\r\n" + `{"error":"refused"}`},
		{core.Answer{Kind: core.Rejected}, "503 Service Unavailable", "\r\nRetry-After: 0.001\r\n\r\n" + `{"error":"refused"}`},
		{core.Answer{Kind: core.Failed, TimedOut: true}, "504 Gateway Timeout", "\r\n\r\n" + `{"error":"timed out"}`},
		{core.Answer{Kind: core.Failed}, "502 Bad Gateway", "\r\n\r\n" + `{"error":"failed"}`},
	} {
		send(t, connection, query)
		r := f.waitRequest(t, f.submitted)
		assert.Equal(t, "id-1", r.ID)
		f.onLoop(func() {
			assert.InDelta(t, f.loop.Now()+1000, r.Deadline, 500)
			r.Client.Deliver(c.answer)
		})
		buffer := make([]byte, 4096)
		n, err := connection.Read(buffer)
		require.NoError(t, err)
		assert.True(t, strings.HasPrefix(string(buffer[:n]), "HTTP/1.1 "+c.status+"\r\n"))
		assert.True(t, strings.HasSuffix(string(buffer[:n]), c.end), "%s", buffer[:n])
	}
}

func TestQueryErrors(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	const bad = "HTTP/1.1 400 Bad Request\r\n"
	stale := &core.StaleEpochError{Epoch: 7, Err: errors.New("shard 3 is unknown")}
	for _, c := range []struct {
		name, in, start, end string
		submitErr            error
		kept                 bool
	}{
		{"an unknown class", strings.Replace(query, "/search", "/other", 1), "HTTP/1.1 404 Not Found\r\n", `{"error":"no contract for this class: \"other\""}`, nil, true},
		{"an unknown tenant", strings.Replace(query, "Tenant: a", "Tenant: b", 1), "HTTP/1.1 403 Forbidden\r\n", `}`, nil, true},
		{"different classes in path and header", strings.Replace(query, "X-Tenant", "X-Class: other\r\nX-Tenant", 1), bad, `{"error":"malformed request: the path and X-Class name two classes"}`, nil, false},
		{"an invalid deadline", strings.Replace(query, "1.5", "0x2", 1), bad, `}`, nil, false},
		{"no body", "POST /search HTTP/1.1\r\nX-Request-Id: id-1\r\nX-Tenant: a\r\nX-Deadline: 1\r\n\r\n", bad, `}`, nil, false},
		{"a stale epoch", query, bad, `{"epoch":7,"error":"the request breaks its contract: shard 3 is unknown"}`, stale, true},
		{"rejected by core", query, bad, `{"error":"the request breaks its contract"}`, core.ErrInvalidRequest, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			f.onLoop(func() { f.submitErr = c.submitErr })
			connection := f.dial(t)
			send(t, connection, c.in)
			if c.kept { // the next request on the connection is answered
				send(t, connection, "GET /_health HTTP/1.0\r\n\r\n")
			}
			answer, after, kept := strings.Cut(readAll(t, connection), "HTTP/1.1 200 OK")
			assert.Equal(t, c.kept, kept, after)
			assert.True(t, strings.HasPrefix(answer, c.start) && strings.HasSuffix(answer, c.end), answer)
			assert.Equal(t, !c.kept, strings.Contains(answer, "\r\nConnection: close\r\n"))
		})
	}
}

func TestPipelinedQueriesAreAnsweredInOrder(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	send(t, connection, query+query+"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n"+query)
	for _, kind := range []core.AnswerKind{core.Failed, core.Rejected} {
		r := f.waitRequest(t, f.submitted)
		assert.Empty(t, f.submitted)
		f.onLoop(func() { r.Client.Deliver(core.Answer{Kind: kind}) })
	}
	assert.Equal(t, []string{"HTTP/1.1 502", "HTTP/1.1 503", "HTTP/1.1 200"}, readStatuses(t, connection))
	assert.Empty(t, f.submitted, "a request behind Connection: close is not served")
}

func TestDisconnectedClient(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	connection := f.dial(t)
	send(t, connection, query)
	submitted := f.waitRequest(t, f.submitted)
	require.NoError(t, connection.Close())
	assert.Same(t, submitted, f.waitRequest(t, f.disconnected))
	f.waitLog(t, `"code":"C03"`)
}

// TestRejectedWithinSubmit checks that core may answer a request within Submit, also the last one of its connection.
func TestRejectedWithinSubmit(t *testing.T) {
	f := startServer(t, Options{MaxConnections: 10, MaxBufferedBytes: 1 << 20})
	f.onLoop(func() { f.rejectAll = true })
	for _, pipelined := range []string{"", query, "GET /_health HT"} {
		answer := f.exchange(t, strings.Replace(query, "X-Tenant", "Connection: close\r\nX-Tenant", 1)+pipelined)
		assert.True(t, strings.HasPrefix(answer, "HTTP/1.1 503 Service Unavailable\r\n"))
		assert.True(t, strings.HasSuffix(answer, `{"error":"refused"}`))
	}
	answer := f.exchange(t, query+query+"GET /_health HTTP/1.0\r\n\r\n")
	assert.Equal(t, 2, strings.Count(answer, `{"error":"refused"}`))
	assert.True(t, strings.HasSuffix(answer, `{"status":"serving"}`))
}
