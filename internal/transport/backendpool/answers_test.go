package backendpool

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/transport/loop"
)

// limitedBackend is a backend that accepts a limited number of connections. On a connection beyond the limit it
// rejects the first part and closes the connection. On an accepted connection it answers ok, or rejects the part if
// its queue is full, after it has received from release.
type limitedBackend struct {
	listener       net.Listener
	maxConnections int32
	connections    atomic.Int32
	release        chan struct{} // one value for each part that may be answered

	mu        sync.Mutex
	queueFull bool
}

func (b *limitedBackend) acceptAll() {
	for {
		connection, err := b.listener.Accept()
		if err != nil {
			return
		}
		accepted := b.connections.Add(1) <= b.maxConnections
		go b.serve(connection, accepted)
	}
}

func (b *limitedBackend) serve(connection net.Conn, accepted bool) {
	defer b.connections.Add(-1)
	defer func() { _ = connection.Close() }()
	for {
		id, err := readPartID(connection)
		if err != nil {
			return
		}
		status := b.answerStatus(accepted)
		if accepted {
			<-b.release
		}
		text := fmt.Sprintf("A%s %s 1 -\nv", id, status)
		_, _ = connection.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
		if !accepted {
			return
		}
	}
}

func (b *limitedBackend) answerStatus(accepted bool) answerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !accepted || b.queueFull {
		return statusRejected
	}
	return statusOK
}

func (b *limitedBackend) fillQueue() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queueFull = true
}

// readPartID reads a query frame and returns the id of its first part.
func readPartID(connection net.Conn) (string, error) {
	header := make([]byte, frameHeaderBytes)
	if _, err := io.ReadFull(connection, header); err != nil {
		return "", err
	}
	body := make([]byte, binary.BigEndian.Uint32(header))
	if _, err := io.ReadFull(connection, body); err != nil {
		return "", err
	}
	if body[0] != frameQuery {
		return "", fmt.Errorf("%w: letter %q", errMalformedFrame, body[0])
	}
	return strings.Fields(string(body[1:]))[0], nil
}

// attributedOutcome is the outcome of an attempt, and whether it was attributed to the connection only.
type attributedOutcome struct {
	outcome        scheduler.Outcome
	connectionOnly bool
}

// batchSender is a Core that sends attempts in batches, each after all attempts of the previous batch have ended. It
// sends batches of six until a whole batch succeeds, then a batch of four to a backend with a full queue.
type batchSender struct {
	loop    *loop.Loop
	pool    *Pool
	backend *limitedBackend

	batches              []map[attributedOutcome]int // number of attempts by outcome, for each batch
	inFlight             int
	sent                 int
	queueFull            bool
	limitBeforeFullQueue connectionLimit
}

func (s *batchSender) AttemptEnded(attempt *core.Attempt, outcome scheduler.Outcome, _ []byte) {
	s.AttemptEndedLater(attempt, outcome)
}

func (s *batchSender) AttemptEndedLater(attempt *core.Attempt, outcome scheduler.Outcome) {
	s.batches[len(s.batches)-1][attributedOutcome{outcome, attempt.ConnectionOnly}]++
	s.inFlight--
	if s.inFlight == 0 {
		s.batchEnded()
	}
}

func (s *batchSender) batchEnded() {
	const maxBatches = 6
	succeeded := s.batches[len(s.batches)-1][attributedOutcome{scheduler.Succeeded, false}]
	switch {
	case s.queueFull:
		s.loop.Stop()
	case succeeded < 6 && len(s.batches) < maxBatches:
		s.send(6)
	default:
		s.queueFull = true
		s.limitBeforeFullQueue = s.pool.connectionLimit
		s.backend.fillQueue()
		s.send(4)
	}
}

func (s *batchSender) send(attempts int) {
	s.inFlight = attempts
	s.batches = append(s.batches, map[attributedOutcome]int{})
	for range attempts {
		s.sent++
		endAt := s.loop.ReadClock() + 3000
		s.pool.Send(&core.Attempt{Request: fmt.Sprint("q", s.sent), Backend: 1, Deadline: endAt, StartBy: endAt})
		s.backend.release <- struct{}{}
	}
}

// TestRejectionAttributedToConnectionLimit checks how rejections are attributed if a backend accepts two connections
// and receives six parts at once. Rejections on further connections are attributed to the connection limit. The pool
// lowers its limit until all six parts succeed on shared connections. Rejections on accepted connections are
// attributed to a full queue and do not lower the limit.
func TestRejectionAttributedToConnectionLimit(t *testing.T) {
	backend := &limitedBackend{listener: listen(t), maxConnections: 2, release: make(chan struct{}, 64)}
	go backend.acceptAll()
	eventLoop := newLoop(t, 3000)
	sender := &batchSender{loop: eventLoop, backend: backend}
	pool := newPool(eventLoop, sender, 1000, backend.listener.Addr().String())
	sender.pool = pool
	eventLoop.OnWakeUpEnd(pool.Flush)
	sender.send(6)
	pool.Flush()
	require.NoError(t, eventLoop.Run())

	batches := sender.batches
	last := len(batches) - 1
	assert.Positive(t, batches[0][attributedOutcome{scheduler.Rejected, true}], batches[0])
	for _, batch := range batches[:last] {
		assert.Zero(t, batch[attributedOutcome{scheduler.Rejected, false}], batch)
	}
	assert.Equal(t, map[attributedOutcome]int{{scheduler.Succeeded, false}: 6}, batches[last-1],
		"all parts succeed on shared connections: %v", batches)
	assert.Equal(t, map[attributedOutcome]int{{scheduler.Rejected, false}: 4}, batches[last])
	assert.Equal(t, sender.limitBeforeFullQueue, pool.connectionLimit, "a full queue says nothing about connections")
	assert.Less(t, sender.limitBeforeFullQueue.current(eventLoop.Now()), maxUnsharedConnections)
	pool.Close()
}
