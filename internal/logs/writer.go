package logs

import (
	"os"
	"sync/atomic"
	"time"
)

const (
	maxQueuedLines = 1024
	flushTimeout   = 200 * time.Millisecond
)

// writer hands lines to a thread of its own. Guards the loop against a reader of the log that stalls: lines
// beyond the queue are dropped and counted.
type writer struct {
	lines         chan []byte
	flushRequests chan chan struct{}
	dropped       atomic.Uint64
}

// Write implements zapcore.WriteSyncer.
func (w *writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *writer) Sync() error { return nil }

func (w *writer) run(f *os.File) {
	for {
		select {
		case b := <-w.lines:
			_, _ = f.Write(b)
		case done := <-w.flushRequests:
			for len(w.lines) > 0 {
				_, _ = f.Write(<-w.lines)
			}
			close(done)
		}
	}
}
