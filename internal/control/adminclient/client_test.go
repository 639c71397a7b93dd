package adminclient

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// serve starts an HTTP server with this handler and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func contextWithin(t *testing.T, timeout time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	t.Cleanup(cancel)
	return ctx
}

func TestDoAnswered(t *testing.T) {
	for _, c := range []struct {
		name   string
		status int
		body   string
		ok     bool
		reason string
	}{
		{"yes", 200, `{"ok":true,"reason":"done"}`, true, "done"},
		{"no", 404, `{"ok":false,"reason":"no leaf of that id was ever listed"}`, false,
			"no leaf of that id was ever listed"},
		{"no body", 503, "", false, "Service Unavailable"},
		{"a body without a reason", 200, `{"ok":true}`, true, "OK"},
		{"a body that is not JSON", 500, "why", false, "Internal Server Error"},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := serve(t, func(w http.ResponseWriter, r *http.Request) {
				assert.Equal(t, "PUT /v1/leafs/s-1/suspend", r.Method+" "+r.URL.Path)
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			})
			answer, err := Do(contextWithin(t, 10*time.Second), address, Suspend("s-1"))
			require.NoError(t, err)
			assert.Equal(t, Answer{Call: "suspend", ID: "s-1", OK: c.ok, Status: c.status, Reason: c.reason, Attempts: 1},
				answer, "a call that is answered is not repeated")
		})
	}
}

// TestDoRetries checks that a call is repeated when its connection is closed without an answer, here twice.
func TestDoRetries(t *testing.T) {
	var calls atomic.Int32
	address := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) <= 2 {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"ok":true,"reason":"so already"}`))
	})
	answer, err := Do(contextWithin(t, 10*time.Second), address, Drain)
	require.NoError(t, err)
	assert.Equal(t, Answer{Call: "drain", OK: true, Status: 200, Reason: "so already", Attempts: 3}, answer)
}

func TestDoNoAnswer(t *testing.T) {
	t.Run("refused", func(t *testing.T) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		answer, err := Do(contextWithin(t, 350*time.Millisecond), address, Ready)
		require.ErrorIs(t, err, ErrNoAnswer)
		assert.Greater(t, answer.Attempts, 1)
		assert.False(t, answer.OK)
		assert.Zero(t, answer.Status)
		assert.Contains(t, err.Error(), answer.Reason, "the last error is the reason")
	})
	t.Run("unresponsive", func(t *testing.T) {
		address := serve(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		began := time.Now()
		_, err := Do(contextWithin(t, 300*time.Millisecond), address, Ready)
		require.ErrorIs(t, err, ErrNoAnswer)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		assert.Less(t, time.Since(began), attemptTimeout, "the context limits all attempts together")
	})
}

func TestAnswerJSON(t *testing.T) {
	text, err := json.Marshal(Answer{Call: "ready", Status: 503, Reason: "not ready", Attempts: 2})
	require.NoError(t, err)
	assert.JSONEq(t, `{"call":"ready","ok":false,"status":503,"reason":"not ready","tries":2}`, string(text))
}
