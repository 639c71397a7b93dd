package flight

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ternstage/internal/logs"
)

// testLoop is a Loop that runs posted work on its own goroutine.
type testLoop struct {
	work      chan func()
	stopped   chan struct{}
	startedAt time.Time
}

// newTestLoop returns a running loop that stops at the end of the test.
func newTestLoop(t *testing.T) *testLoop {
	t.Helper()
	l := &testLoop{work: make(chan func(), 1024), stopped: make(chan struct{}), startedAt: time.Now()}
	go l.run()
	t.Cleanup(func() { close(l.stopped) })
	return l
}

func (l *testLoop) run() {
	for {
		select {
		case work := <-l.work:
			work()
		case <-l.stopped:
			return
		}
	}
}

// Post implements Loop.
func (l *testLoop) Post(work func()) { l.work <- work }

// Enqueue implements Loop. It runs work at once.
func (l *testLoop) Enqueue(_ int, work func()) { work() }

// Now implements Loop.
func (l *testLoop) Now() float64 { return toMs(time.Since(l.startedAt)) }

// do runs work on the loop and waits until it is done.
func (l *testLoop) do(t *testing.T, work func()) {
	t.Helper()
	done := make(chan struct{})
	l.Post(func() {
		defer close(done)
		work()
	})
	receive(t, done)
}

// receive returns the next value of a channel, or the zero value if the channel is closed. After 5 s it fails the
// test.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(5 * time.Second):
		require.FailNow(t, "no value received within 5 s")
	}
	panic("not reached")
}

func newLog() *logs.Log { return logs.New(os.Stderr, "test") }
