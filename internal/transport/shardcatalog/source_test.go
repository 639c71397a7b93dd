package shardcatalog

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const testTimeout = 10 * time.Second

// reply is how the fake catalogue handles one call.
type reply struct {
	raw   string // the bytes to send; empty leaves the call without an answer
	close bool   // close the connection afterwards
}

// answer returns a reply with status 200 and a body.
func answer(body string) reply {
	return reply{raw: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)}
}

// fakeCatalogue answers calls in the order in which they arrive.
type fakeCatalogue struct {
	listener net.Listener
	targets  chan string // request targets, in order
	replies  chan reply
}

func newFakeCatalogue(t *testing.T) *fakeCatalogue {
	t.Helper()
	listener, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	catalogue := &fakeCatalogue{listener: listener, targets: make(chan string, 100), replies: make(chan reply, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go catalogue.accept()
	return catalogue
}

func (c *fakeCatalogue) accept() {
	for {
		connection, err := c.listener.Accept()
		if err != nil {
			return
		}
		go c.serve(connection)
	}
}

func (c *fakeCatalogue) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		c.targets <- request.URL.RequestURI()
		next := <-c.replies
		if _, err := connection.Write([]byte(next.raw)); err != nil || next.close {
			return
		}
	}
}

// recordingSink applies updates to a map and records them.
type recordingSink struct {
	m       *shardmap.Map
	applied chan uint64 // epochs of the map after each applied update
}

func (s *recordingSink) ApplySnapshot(snapshot shardmap.Snapshot) error {
	_, err := s.m.Reset(snapshot)
	return s.record(err)
}

func (s *recordingSink) ApplyChanges(changes []shardmap.Change, backends []string) error {
	_, err := s.m.Apply(changes, backends)
	return s.record(err)
}

func (s *recordingSink) record(err error) error {
	if err == nil {
		s.applied <- s.m.Current().Epoch
	}
	return err
}

func (s *recordingSink) Epoch() uint64 { return s.m.Current().Epoch }

// sourceFixture is a Source on a running loop, with a fake catalogue and a map.
type sourceFixture struct {
	t         *testing.T
	catalogue *fakeCatalogue
	sink      *recordingSink
	loop      *loop.Loop
	source    *Source
	log       *logs.Log
	logPath   string
	loopEnded chan error // the result of loop.Run
}

func startSource(t *testing.T, watchTimeoutMs float64) *sourceFixture {
	t.Helper()
	fixture := &sourceFixture{
		t:         t,
		catalogue: newFakeCatalogue(t),
		sink:      &recordingSink{m: shardmap.New(shardmap.Options{}), applied: make(chan uint64, 100)},
		logPath:   filepath.Join(t.TempDir(), "log"),
		loopEnded: make(chan error, 1),
	}
	file, err := os.Create(fixture.logPath)
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	fixture.log = logs.New(file, "test")
	fixture.loop, err = loop.New()
	require.NoError(t, err)
	fixture.source = NewSource(fixture.loop, fixture.sink, fixture.log, Options{
		Address:        fixture.catalogue.listener.Addr().String(),
		MaxAnswerBytes: 1 << 20,
		Poller: shardmap.PollerOptions{
			WatchTimeoutMs: watchTimeoutMs,
			JitterMs:       1,
			MinIntervalMs:  5,
			BackoffMinMs:   5,
			BackoffMaxMs:   20,
		},
		Seed: 7,
	})
	fixture.loop.Post(fixture.source.Start)
	go func() { fixture.loopEnded <- fixture.loop.Run() }()
	return fixture
}

// expectCall waits for the next call, requires its target and replies to it.
func (f *sourceFixture) expectCall(target string, r reply) {
	f.t.Helper()
	select {
	case got := <-f.catalogue.targets:
		require.Equal(f.t, target, got)
	case <-time.After(testTimeout):
		require.Fail(f.t, "no call for "+target)
	}
	f.catalogue.replies <- r
}

// waitApplied waits for the next applied update and requires its epoch.
func (f *sourceFixture) waitApplied(epoch uint64) {
	f.t.Helper()
	select {
	case got := <-f.sink.applied:
		require.Equal(f.t, epoch, got)
	case <-time.After(testTimeout):
		require.Fail(f.t, "no update was applied")
	}
}

var logCode = regexp.MustCompile(`"code":"([A-Z]\d+)"(?:.*"served":(\d+))?`)

// stop closes the source and returns the codes that it has logged, with the number of answers if a connection ended.
func (f *sourceFixture) stop() []string {
	f.t.Helper()
	f.loop.Post(func() {
		f.source.Close()
		f.loop.Stop()
	})
	require.NoError(f.t, <-f.loopEnded)
	close(f.catalogue.replies)
	f.log.Close()
	text, err := os.ReadFile(f.logPath)
	require.NoError(f.t, err)
	var codes []string
	for _, match := range logCode.FindAllStringSubmatch(string(text), -1) {
		codes = append(codes, strings.TrimSpace(match[1]+" "+match[2]))
	}
	return codes
}

const (
	snapshotTarget = "/catalog/slices"
	longWatchMs    = 20_000.0
)

func watchTarget(epoch int) string { return fmt.Sprintf("/catalog/slices?index=%d&wait=20000", epoch) }

func snapshotBody(t *testing.T, shards int) string {
	t.Helper()
	body, err := json.Marshal(largeDocument(shards))
	require.NoError(t, err)
	return string(body)
}

func TestSourceWatchesAfterASnapshot(t *testing.T) {
	fixture := startSource(t, longWatchMs)
	fixture.expectCall(snapshotTarget, answer(snapshotBody(t, 4)))
	fixture.waitApplied(5)
	fixture.expectCall(watchTarget(5), answer(
		`{"epoch":6,"complete":false,"changes":[{"base":5,"epoch":6,"kind":"assign","slice":0,"holders":["z"]}]}`))
	fixture.waitApplied(6)
	fixture.expectCall(watchTarget(6), answer(`{"epoch":6,"complete":false}`)) // the watch ends without a change
	fixture.waitApplied(6)
	fixture.expectCall(watchTarget(6), reply{})
	require.Equal(t, []string{string(logs.Shutdown) + " 3"}, fixture.stop())
}

func TestSourceParsesLargeAnswersOutsideTheLoop(t *testing.T) {
	body := snapshotBody(t, 5000)
	require.Greater(t, len(body), maxInlineBytes)
	fixture := startSource(t, longWatchMs)
	fixture.expectCall(snapshotTarget, answer(body))
	fixture.waitApplied(5)
	fixture.expectCall(watchTarget(5), reply{})
	require.Equal(t, []string{string(logs.Shutdown) + " 1"}, fixture.stop())
}

func TestSourceRequestsASnapshotAfterARejectedUpdate(t *testing.T) {
	fixture := startSource(t, longWatchMs)
	fixture.expectCall(snapshotTarget, answer(snapshotBody(t, 4)))
	fixture.waitApplied(5)
	fixture.expectCall(watchTarget(5), answer(
		`{"epoch":9,"complete":false,"changes":[{"base":7,"epoch":9,"kind":"handover","slice":0}]}`))
	fixture.expectCall(snapshotTarget, answer(`{`))
	fixture.expectCall(snapshotTarget, answer(snapshotBody(t, 4)))
	fixture.waitApplied(5)
	fixture.expectCall(watchTarget(5), reply{})
	require.Equal(t, []string{
		string(logs.ShardMapRejected),
		string(logs.ShardMapRejected),
		string(logs.Shutdown) + " 4",
	}, fixture.stop())
}

func TestSourceConnectsAgainAfterAFailedCall(t *testing.T) {
	fixture := startSource(t, longWatchMs)
	fixture.expectCall(snapshotTarget, reply{raw: "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n"})
	fixture.expectCall(snapshotTarget, reply{raw: "no HTTP\r\n\r\n"})
	fixture.expectCall(snapshotTarget, reply{raw: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{", close: true})
	fixture.expectCall(snapshotTarget, answer(snapshotBody(t, 4)))
	fixture.waitApplied(5)
	fixture.expectCall(watchTarget(5), reply{close: true})
	fixture.expectCall(watchTarget(5), reply{})
	codes := fixture.stop()
	require.Equal(t, []string{
		string(logs.ShardMapMalformed) + " 0",
		string(logs.ShardMapMalformed) + " 0",
	}, codes[:2])
	require.Equal(t, []string{
		string(logs.ShardMapClosed) + " 1",
		string(logs.Shutdown) + " 0",
	}, codes[len(codes)-2:])
	require.Len(t, codes, 5, "one log line for each connection")
}

func TestSourceAppliesTheLastAnswerOfAConnection(t *testing.T) {
	fixture := startSource(t, longWatchMs)
	body := snapshotBody(t, 4)
	fixture.expectCall(snapshotTarget, reply{
		raw:   fmt.Sprintf("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		close: true,
	})
	fixture.waitApplied(5)
	fixture.expectCall(watchTarget(5), reply{})
	require.Equal(t, []string{string(logs.ShardMapClosed) + " 1", string(logs.Shutdown) + " 0"}, fixture.stop())
}

func TestSourceCancelsTheWatchForANewerEpoch(t *testing.T) {
	fixture := startSource(t, longWatchMs)
	fixture.expectCall(snapshotTarget, answer(snapshotBody(t, 4)))
	fixture.waitApplied(5)
	fixture.expectCall(watchTarget(5), reply{})
	fixture.loop.Post(func() { fixture.source.NewerEpochSeen(6) })
	fixture.expectCall("/catalog/slices?index=5&wait=0", answer(
		`{"epoch":6,"complete":false,"changes":[{"base":5,"epoch":6,"kind":"assign","slice":0,"holders":["z"]}]}`))
	fixture.waitApplied(6)
	fixture.expectCall(watchTarget(6), reply{})
	require.Equal(t, []string{string(logs.ShardMapWatchAborted) + " 1", string(logs.Shutdown) + " 1"}, fixture.stop())
}

func TestSourceFailsACallThatTimesOut(t *testing.T) {
	fixture := startSource(t, 1)
	fixture.expectCall(snapshotTarget, answer(snapshotBody(t, 4)))
	fixture.waitApplied(5)
	fixture.expectCall("/catalog/slices?index=5&wait=1", reply{}) // times out 1 s after its wait of 1 ms
	fixture.expectCall("/catalog/slices?index=5&wait=1", reply{})
	require.Equal(t, []string{string(logs.ShardMapTimeout) + " 1", string(logs.Shutdown) + " 0"}, fixture.stop())
}

func TestSourceRejectsAnOversizedAnswer(t *testing.T) {
	fixture := startSource(t, longWatchMs)
	fixture.expectCall(snapshotTarget, reply{raw: "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n{"})
	fixture.expectCall(snapshotTarget, answer(snapshotBody(t, 4)))
	fixture.waitApplied(5)
	fixture.expectCall(watchTarget(5), reply{})
	require.Equal(t, []string{string(logs.ShardMapMalformed) + " 0", string(logs.Shutdown) + " 1"}, fixture.stop())
}
