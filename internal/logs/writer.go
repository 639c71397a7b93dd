package logs

import (
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines in the queue; further ones are dropped.
	maxQueuedLines = 1024
	// flushTimeout limits each of the two waits of a flush: until run accepts the request, and until it is done.
	flushTimeout = 200 * time.Millisecond
)

// writer queues lines for a goroutine that writes them, so that a stalled reader of the log does not block the event
// loop.
type writer struct {
	lines         chan []byte
	flushRequests chan chan struct{} // run closes each channel when it has written the queued lines
	dropped       atomic.Uint64
}

func newWriter() *writer {
	return &writer{lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
}

// Write queues a line, or drops it if the queue is full. It never fails and never blocks. It implements
// zapcore.WriteSyncer.
func (w *writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...): // zap reuses the buffer
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: Close flushes. It implements zapcore.WriteSyncer.
func (w *writer) Sync() error { return nil }

// run writes the queued lines to out. It never returns.
func (w *writer) run(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		case done := <-w.flushRequests:
			for len(w.lines) > 0 {
				_, _ = out.Write(<-w.lines)
			}
			close(done)
		}
	}
}

// flush waits until the queued lines are written, or until out has stalled for flushTimeout.
func (w *writer) flush() {
	done := make(chan struct{})
	select {
	case w.flushRequests <- done:
	case <-time.After(flushTimeout):
		return
	}
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
