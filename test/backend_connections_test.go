package test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// requireOutcome sends a request for shard 1 and requires how it ends.
func requireOutcome(t *testing.T, p *program, id, class, outcome string) {
	a := sendHTTP(context.Background(), p, request{id: id, class: class, tenant: "gangasagar-life", shards: []int{1},
		timeout: 900 * time.Millisecond})
	require.Equal(t, outcome, a.outcome, "%s %s", id, p.logged())
	if outcome == "served" {
		require.Equal(t, documentOf(id+".1"), a.documents[1])
	}
}

// TestMalformedResponses sends bytes in place of an answer. A malformed answer must fail only its own attempt, at
// once, and end the connection; another replica serves the request. A valid answer counts whatever follows it. Guards
// against the use of desynchronized connections and against answers that reach another request.
func TestMalformedResponses(t *testing.T) {
	ok := func(id string) string { return id + " ok 17 -\n" + documentOf(id) }
	for _, c := range []struct {
		name       string
		attempts   int // 1 if the answer is valid all the same
		endedConns int // connections that end because of a malformed answer
		raw        func(id string) string
	}{
		{"id of another part", 2, 1, func(string) string { return string(encodeFrame('A', ok("f00d.1"))) }},
		{"unknown status", 2, 1, func(id string) string { return string(encodeFrame('A', id+" 0 17 -\n"+documentOf(id))) }},
		{"no status", 2, 1, func(id string) string { return string(encodeFrame('A', id+"  17 -\n"+documentOf(id))) }},
		{"score that is no number", 2, 1, func(id string) string {
			return string(encodeFrame('A', id+" ok x -\n"+documentOf(id)))
		}},
		{"unterminated line", 2, 1, func(id string) string { return string(encodeFrame('A', id+" ok 17 -")) }},
		{"no value", 2, 1, func(id string) string { return string(encodeFrame('A', id+" ok 17 -\n")) }},
		{"value that is not UTF-8", 2, 1, func(id string) string {
			return string(encodeFrame('A', id+" ok 17 -\n\xff\xfe"))
		}},
		{"unknown letter", 2, 1, func(id string) string { return string(encodeFrame('\x01', ok(id))) }},
		{"noise", 2, 1, func(string) string { return "\xa5\x0b\xb3\xaa`\x96\xfc\xc3\r\n\r\n" }},
		{"length 0", 2, 1, func(id string) string { return "\x00\x00\x00\x00A" + ok(id) }},
		{"length too short", 2, 1, func(id string) string { return "\x00\x00\x00\x03A" + ok(id) }},
		{"length too long", 2, 1, func(id string) string { return "\x00\x00\x01\x00A" + ok(id) }},
		{"value of 3 GB", 2, 1, func(id string) string {
			return "\xb2\xd0\x5e\x00A" + ok(id) + strings.Repeat("x", 1<<20)
		}},
		{"half a frame", 2, 1, func(id string) string { return string(encodeFrame('A', ok(id))[:20]) }},
		{"second answer after it", 1, 1, func(id string) string {
			return strings.Repeat(string(encodeFrame('A', ok(id))), 2)
		}},
		{"noise after it", 1, 1, func(id string) string { return string(encodeFrame('A', ok(id))) + "\xa2\xae\x16y<\x9e" }},
		{"malformed load report", 1, 0, func(id string) string {
			return string(encodeFrame('A', id+" ok 17 =,= %% nan\n"+documentOf(id)))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			backends, p := startWithBackends(t, onFirst(answerRaw), options{})
			backends.rawAnswer = func(id string) []byte { return []byte(c.raw(id)) }
			requireOutcome(t, p, "a", "quote", "served")
			requireOutcome(t, p, "b", "bind", "served")
			assert.Len(t, backends.attempts(), c.attempts+1)
			if c.endedConns > 0 {
				p.waitForLog(`"code":"L06"`)
			}
			p.stop()
			assert.Equal(t, c.endedConns, strings.Count(p.logged(), `"code":"L06"`))
		})
	}
}

// startWithOneReplica starts a program for whose shard 1 only one replica is listed.
func startWithOneReplica(t *testing.T, behave func(receivedAttempt, int) behavior) (*backendSet, *program) {
	backends := startBackends(t, protocols[0], behave, 2, 3)
	return backends, start(t, options{endpoints: backends.endpoints[:2]})
}

// TestUnsafePartSurvivesMalformedResponse has a part that must not run twice in flight at a backend when the answer
// of another part there is malformed. It must still be answered. Guards against one bad connection that ends the
// parts of others.
func TestUnsafePartSurvivesMalformedResponse(t *testing.T) {
	backends, p := startWithOneReplica(t, func(s receivedAttempt, nth int) behavior {
		return map[int]behavior{1: serveWhenReleased, 2: answerMalformed}[nth]
	})
	result := make(chan response)
	go func() {
		result <- sendHTTP(context.Background(), p, request{id: "b", class: "bind", tenant: "gangasagar-life",
			shards: []int{1}, timeout: time.Second})
	}()
	require.Eventually(t, func() bool { return len(backends.attempts()) == 1 }, waitTimeout, time.Millisecond)
	go sendHTTP(context.Background(), p, request{id: "q", class: "quote", tenant: "gangasagar-life", shards: []int{1},
		timeout: time.Second})
	p.waitForLog(`"code":"L06"`)
	close(backends.release)
	assert.Equal(t, "served", (<-result).outcome)
}

// TestSilentConnectionIsNotReused cancels a part on a connection on which nothing came back. The connection must not
// be used again. Guards against a connection that is dead without having been closed.
func TestSilentConnectionIsNotReused(t *testing.T) {
	backends, p := startWithOneReplica(t, func(s receivedAttempt, _ int) behavior { return serve })
	dead := ""
	backends.behave = func(s receivedAttempt, nth int) behavior {
		if nth == 2 {
			dead = s.conn
		}
		if s.conn == dead {
			return neverAnswer
		}
		return serve
	}
	requireOutcome(t, p, "a", "quote", "served")
	requireOutcome(t, p, "b", "quote", "rejected")
	for i := range 3 {
		requireOutcome(t, p, fmt.Sprint("c", i), "quote", "served")
	}
	p.waitForLog(`"code":"L09"`)
}

// TestUnsafePartAvoidsIdleConnection sends a part that must not run twice after its connection has been idle. It must
// go out on a new one. Guards against an idle connection that the backend has dropped unseen: on its loss, the part
// may have run.
func TestUnsafePartAvoidsIdleConnection(t *testing.T) {
	backends, p := startWithOneReplica(t, func(s receivedAttempt, _ int) behavior {
		if s.connOrder > 1 {
			return closeConnection
		}
		return serve
	})
	requireOutcome(t, p, "a", "quote", "served")
	at := time.Now()
	require.Eventually(t, func() bool { return time.Since(at) > 400*time.Millisecond }, waitTimeout, 10*time.Millisecond)
	requireOutcome(t, p, "b", "bind", "served")
	assert.Len(t, backends.attempts(), 2)
}

// TestBrokenIdleConnectionIsNoFailureOfBackend closes a connection as soon as it is used again; parts on new ones are
// served. The backend must be neither ejected nor treated as restarted. Guards healthy backends behind a middlebox
// that drops idle connections.
func TestBrokenIdleConnectionIsNoFailureOfBackend(t *testing.T) {
	_, p := startWithOneReplica(t, func(s receivedAttempt, nth int) behavior {
		if nth == 2 {
			return closeConnection
		}
		return serve
	})
	requireOutcome(t, p, "a", "quote", "served")
	at := time.Now()
	require.Eventually(t, func() bool { return time.Since(at) > 30*time.Millisecond }, waitTimeout, time.Millisecond)
	for i := range 20 {
		requireOutcome(t, p, fmt.Sprint("b", i), "quote", "served")
	}
}
