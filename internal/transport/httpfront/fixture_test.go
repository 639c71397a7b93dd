package httpfront

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const (
	waitTimeout = 10 * time.Second

	queryBody = `{"shards":[{"shard":3,"weight":1}],"q":"text"}`
	query     = "POST /search HTTP/1.1\r\nX-Request-Id: id-1\r\nX-Tenant: a\r\nX-Deadline: 1.5\r\nContent-Length: 46\r\n\r\n" +
		queryBody
)

// serverFixture is a server on its own event loop, together with the server's Core. As Core it leaves requests for
// the test to answer, unless rejectAll is set: then it rejects each request within Submit.
type serverFixture struct {
	server                  *Server
	loop                    *loop.Loop
	address, logPath        string
	ready                   bool
	submitted, disconnected chan *core.Request
	submitErr               error
	rejectAll               bool
}

func (f *serverFixture) Submit(r *core.Request) error {
	if f.submitErr != nil {
		return f.submitErr
	}
	if f.rejectAll {
		r.Client.Deliver(core.Answer{Kind: core.Rejected})
		return nil
	}
	f.submitted <- r
	return nil
}

func (f *serverFixture) ClientDisconnected(r *core.Request) { f.disconnected <- r }

// startServer starts a server and its event loop. Both end with the test.
func startServer(t *testing.T, options Options) *serverFixture {
	t.Helper()
	eventLoop, err := loop.New()
	require.NoError(t, err)
	f := &serverFixture{loop: eventLoop, ready: true, logPath: filepath.Join(t.TempDir(), "log"),
		submitted: make(chan *core.Request, 100), disconnected: make(chan *core.Request, 100)}
	file, err := os.Create(f.logPath)
	require.NoError(t, err)
	log := logs.New(file, "n0")
	contracts := contract.New([]contract.Class{{Name: "search", DeadlineMs: 1000}}, []contract.Tenant{{Name: "a"}}, true)
	f.server, err = NewServer(eventLoop, f, contracts, log, "127.0.0.1:0", options, func() bool { return f.ready })
	require.NoError(t, err)
	address, err := unix.Getsockname(f.server.listenerFD)
	require.NoError(t, err)
	f.address = formatAddress(address)
	ended := make(chan error)
	go func() { ended <- eventLoop.Run() }()
	t.Cleanup(func() {
		eventLoop.Post(func() {
			f.server.StopListening()
			f.server.Close()
			eventLoop.Stop()
		})
		assert.NoError(t, <-ended)
		log.Close()
		_ = file.Close()
	})
	return f
}

// onLoop runs work on the event loop and waits until it is done.
func (f *serverFixture) onLoop(work func()) {
	done := make(chan struct{})
	f.loop.Post(func() {
		work()
		close(done)
	})
	<-done
}

// dial opens a connection and waits until the server has accepted it.
func (f *serverFixture) dial(t *testing.T) net.Conn {
	t.Helper()
	before := f.connectionCount()
	connection, err := net.Dial("tcp", f.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(waitTimeout)))
	require.Eventually(t, func() bool { return f.connectionCount() > before }, waitTimeout, time.Millisecond)
	return connection
}

func (f *serverFixture) connectionCount() (all int) {
	f.onLoop(func() { all, _ = f.server.ConnectionCounts() })
	return all
}

// exchange sends text on a new connection and returns everything that the server sends until it closes the
// connection.
func (f *serverFixture) exchange(t *testing.T, text string) string {
	t.Helper()
	connection := f.dial(t)
	send(t, connection, text)
	return readAll(t, connection)
}

func (f *serverFixture) waitLog(t *testing.T, text string) {
	t.Helper()
	require.Eventually(t, func() bool {
		logged, err := os.ReadFile(f.logPath)
		return err == nil && strings.Contains(string(logged), text)
	}, waitTimeout, 5*time.Millisecond, "%s is not logged", text)
}

func (f *serverFixture) waitRequest(t *testing.T, requests chan *core.Request) *core.Request {
	t.Helper()
	select {
	case r := <-requests:
		return r
	case <-time.After(waitTimeout):
		require.Fail(t, "no request received", "within %s", waitTimeout)
	}
	return nil
}

func send(t *testing.T, connection net.Conn, text string) {
	t.Helper()
	_, err := io.WriteString(connection, text)
	require.NoError(t, err)
}

func readAll(t *testing.T, connection net.Conn) string {
	t.Helper()
	answer, err := io.ReadAll(connection)
	require.NoError(t, err)
	return string(answer)
}

var statusLine = regexp.MustCompile(`HTTP/1\.1 \d+`)

// readStatuses returns the protocol and status code of each response until the server closes the connection.
func readStatuses(t *testing.T, connection net.Conn) []string {
	t.Helper()
	return statusLine.FindAllString(readAll(t, connection), -1)
}
