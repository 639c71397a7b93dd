package backendpool

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// outcomeRecorder is a Core that records the outcomes of attempts and stops the loop at each outcome.
type outcomeRecorder struct {
	loop     *loop.Loop
	outcomes []scheduler.Outcome
	lastAt   float64 // when the last outcome was reported
}

func (r *outcomeRecorder) AttemptEnded(attempt *core.Attempt, outcome scheduler.Outcome, _ []byte) {
	r.AttemptEndedLater(attempt, outcome)
}

func (r *outcomeRecorder) AttemptEndedLater(_ *core.Attempt, outcome scheduler.Outcome) {
	r.outcomes = append(r.outcomes, outcome)
	r.lastAt = r.loop.Now()
	r.loop.Stop()
}

// newLoop returns a loop that stops after timeoutMs at the latest.
func newLoop(t *testing.T, timeoutMs float64) *loop.Loop {
	t.Helper()
	eventLoop, err := loop.New()
	require.NoError(t, err)
	eventLoop.NewTimer(eventLoop.Stop).Set(eventLoop.ReadClock() + timeoutMs)
	return eventLoop
}

// newPool returns a Pool in which all backends have the same address.
func newPool(eventLoop *loop.Loop, outcomes Core, dialTimeoutMs float64, address string) *Pool {
	options := Options{StreamsPerConnection: 8, DialTimeoutMs: dialTimeoutMs, IdleTimeoutMs: 30000, MaxConnections: 8}
	return NewPool(eventLoop, outcomes, logs.New(os.Stderr, "test"), options, func(uint32) string { return address })
}

// newRecordingPool returns a Pool in which all backends have the same address, and the recorder of its outcomes.
func newRecordingPool(t *testing.T, address string) (*Pool, *outcomeRecorder) {
	t.Helper()
	eventLoop := newLoop(t, 4000)
	recorder := &outcomeRecorder{loop: eventLoop}
	return newPool(eventLoop, recorder, 5000, address), recorder
}

// listen returns a listener on an unused address, which is closed when the test ends.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	closeAfter(t, listener)
	return listener
}

func closeAfter(t *testing.T, closer interface{ Close() error }) {
	t.Helper()
	t.Cleanup(func() { _ = closer.Close() })
}
