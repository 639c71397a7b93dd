package test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"

	"ternstage/internal/lab/loopback"
)

// newFlightPair returns Flight backends and the options that processes of one broker with the Flight front share.
func newFlightPair(t *testing.T, behave func(receivedAttempt, int) behavior) (*backendSet, options) {
	t.Helper()
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	backends := startBackends(t, protocols[1], behave)
	return backends, options{adminAPI: true, stateDir: t.TempDir(), listener: blockingListener(t, ln), flight: true,
		listenAddr: ln.Addr().String(), flightAddr: freeAddress(t), endpoints: backends.endpoints}
}

// flightLoad is clients that send queries to the Flight front, one after another, until end is called.
type flightLoad struct {
	stop    chan struct{}
	clients sync.WaitGroup
	sent    atomic.Int64
	mu      sync.Mutex
	failed  []string // queries that were not served
}

// startFlightLoad starts clients that open a connection for each query and clients that keep theirs.
func startFlightLoad(t *testing.T, p *program) *flightLoad {
	t.Helper()
	l := &flightLoad{stop: make(chan struct{})}
	for range 4 {
		l.clients.Go(func() { l.run(func(q request) string { return sendFlight(context.Background(), p, q).outcome }) })
	}
	for range 4 {
		connection, err := grpc.NewClient("passthrough:///"+p.flightAddr,
			grpc.WithTransportCredentials(insecure.NewCredentials()))
		require.NoError(t, err)
		t.Cleanup(func() { _ = connection.Close() })
		client := flight.NewClientFromConn(connection, nil)
		l.clients.Go(func() { l.run(func(q request) string { return askFlight(client, q) }) })
	}
	return l
}

// askFlight sends a query on a client's connection and returns its outcome.
func askFlight(client flight.Client, q request) string {
	ctx, cancel := context.WithTimeout(context.Background(), q.timeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "x-request-id", q.id, "x-class", q.class, "x-tenant", q.tenant)
	stream, err := client.DoGet(ctx, &flight.Ticket{Ticket: []byte(q.encodedBody())})
	if err != nil {
		return err.Error()
	}
	reader, err := flight.NewRecordReader(stream)
	if err != nil {
		return err.Error()
	}
	reader.Release()
	return "served"
}

func (l *flightLoad) run(send func(request) string) {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
		n := l.sent.Add(1)
		id := fmt.Sprintf("load%d", n)
		outcome := send(request{id: id, class: "bind", tenant: "gangasagar-life", shards: []int{int(n % 8)},
			timeout: time.Second})
		if outcome != "served" {
			l.mu.Lock()
			l.failed = append(l.failed, id+": "+outcome)
			l.mu.Unlock()
		}
	}
}

// end stops the clients and requires that all queries were served.
func (l *flightLoad) end(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.clients.Wait()
	t.Logf("%d queries", l.sent.Load())
	assert.Empty(t, l.failed)
}

// requireRunOnce requires that no part reached a backend twice.
func requireRunOnce(t *testing.T, backends *backendSet) {
	t.Helper()
	runs := map[string]int{}
	for _, attempt := range backends.attempts() {
		runs[attempt.id]++
		assert.Equal(t, 1, runs[attempt.id], "%s", attempt.id)
	}
}

// TestUpgradeWithFlightFront upgrades a broker with the Flight front twice under load. Guards against a new process
// that cannot listen while the old one serves, and against calls that are lost or run twice in the hand-over.
func TestUpgradeWithFlightFront(t *testing.T) {
	backends, o := newFlightPair(t, nil)
	first := start(t, o)
	load := startFlightLoad(t, first)
	time.Sleep(300 * time.Millisecond)
	second := start(t, o)
	first.stop()
	time.Sleep(300 * time.Millisecond)
	third := start(t, o)
	second.stop()
	time.Sleep(300 * time.Millisecond)
	load.end(t)
	requireRunOnce(t, backends)
	third.stop()
}

// TestOpenFlightCallOutlivesUpgrade requires the answer of a call that is open while its process is replaced.
func TestOpenFlightCallOutlivesUpgrade(t *testing.T) {
	backends, o := newFlightPair(t, onShards(serveWhenReleased, 5))
	old := start(t, o)
	answer := make(chan response, 1)
	go func() {
		answer <- sendFlight(context.Background(), old, request{id: "open", class: "bind", tenant: "gangasagar-life",
			shards: []int{5}, timeout: time.Second})
	}()
	require.Eventually(t, func() bool { return len(backends.attempts()) == 1 }, waitTimeout, time.Millisecond)
	next := start(t, o)
	go func() {
		time.Sleep(200 * time.Millisecond)
		close(backends.release)
	}()
	old.stop()
	require.Equal(t, "served", (<-answer).outcome)
	requireRunOnce(t, backends)
	next.stop()
}

// TestBrokenOffUpgradeWithFlightFront kills a new process before it is ready and another one after that. The old one
// must serve on, and a third process must be able to take over from it.
func TestBrokenOffUpgradeWithFlightFront(t *testing.T) {
	backends, o := newFlightPair(t, nil)
	old := start(t, o)
	early := launchWithListener(t, configBeside(t, old, backends), o.listener, "BALANCER_MGMT="+freeAddress(t),
		"TMPDIR="+o.stateDir)
	early.kill()
	ready := start(t, o)
	ready.kill()
	load := startFlightLoad(t, old)
	time.Sleep(200 * time.Millisecond)
	third := start(t, o)
	old.stop()
	time.Sleep(200 * time.Millisecond)
	load.end(t)
	requireRunOnce(t, backends)
	third.stop()
	o.listener, o.listenAddr = nil, ""
	restarted := start(t, o) // a plain restart opens the address anew
	require.Equal(t, "served", sendFlight(context.Background(), restarted, request{id: "again", class: "quote",
		tenant: "gangasagar-life", shards: []int{1}, timeout: time.Second}).outcome)
	restarted.stop()
}
