package adminapi

import (
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const readyCall = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n"

// server is a running admin API with its own event loop.
type server struct {
	address string
	logPath string
	log     *logs.Log
}

func serve(t *testing.T) *server {
	t.Helper()
	eventLoop, err := loop.New()
	require.NoError(t, err)
	s := &server{logPath: filepath.Join(t.TempDir(), "log")}
	file, err := os.Create(s.logPath)
	require.NoError(t, err)
	s.log = logs.New(file, "n0")
	api, err := Listen(eventLoop, &recorder{ready: true}, s.log, "127.0.0.1:0")
	require.NoError(t, err)
	address, err := unix.Getsockname(api.listenerFD)
	require.NoError(t, err)
	s.address = fmt.Sprintf("127.0.0.1:%d", address.(*unix.SockaddrInet4).Port)
	eventLoop.OnWakeUpEnd(func() {})
	ended := make(chan error)
	go func() { ended <- eventLoop.Run() }()
	t.Cleanup(func() {
		eventLoop.Post(func() {
			api.Close()
			api.Close() // a repeated call does nothing
			eventLoop.Stop()
		})
		assert.NoError(t, <-ended)
		s.log.Close()
		_ = file.Close()
	})
	return s
}

func (s *server) dial(t *testing.T) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	require.NoError(t, connection.SetDeadline(time.Now().Add(10*time.Second)))
	return connection
}

// call sends text on a new connection and returns the whole answer.
func (s *server) call(t *testing.T, text string) string {
	t.Helper()
	connection := s.dial(t)
	_, err := io.WriteString(connection, text)
	require.NoError(t, err)
	answer, err := io.ReadAll(connection)
	require.NoError(t, err)
	_ = connection.Close()
	return string(answer)
}

func (s *server) waitLog(t *testing.T, text string) {
	t.Helper()
	require.Eventually(t, func() bool {
		logged, err := os.ReadFile(s.logPath)
		return err == nil && strings.Contains(string(logged), text)
	}, 10*time.Second, 5*time.Millisecond, "%s is not logged", text)
}

// TestIncompleteCallTimesOut checks that a call that does not fully arrive is answered 408 within a second.
func TestIncompleteCallTimesOut(t *testing.T) {
	s := serve(t)
	began := time.Now()
	assert.Contains(t, s.call(t, "GET /v1/readyz HT"), "HTTP/1.1 408 Request Timeout\r\n")
	assert.GreaterOrEqual(t, time.Since(began), CallTimeoutMs*time.Millisecond)
	assert.Less(t, time.Since(began), time.Second)
	s.waitLog(t, `"code":"O03"`)
}

// TestOldestConnectionEvicted checks that a connection beyond MaxConnections is served, and that the oldest one is
// answered 503.
func TestOldestConnectionEvicted(t *testing.T) {
	s := serve(t)
	oldest := s.dial(t)
	time.Sleep(20 * time.Millisecond)
	for range MaxConnections - 1 {
		s.dial(t)
	}
	assert.Contains(t, s.call(t, readyCall), "HTTP/1.1 200 OK\r\n")
	answer, err := io.ReadAll(oldest)
	require.NoError(t, err)
	assert.Contains(t, string(answer), "HTTP/1.1 503 Service Unavailable\r\n")
	s.waitLog(t, `"code":"O05"`)
}

func TestListenFails(t *testing.T) {
	s := serve(t)
	eventLoop, err := loop.New()
	require.NoError(t, err)
	for _, address := range []string{s.address, "no address"} {
		_, err := Listen(eventLoop, &recorder{}, s.log, address)
		assert.ErrorContains(t, err, "mgmt: ")
	}
}
