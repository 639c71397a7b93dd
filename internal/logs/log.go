package logs

import (
	"os"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ternstage/internal/core"
)

// Log is the program's log.
type Log struct {
	*zap.Logger
	writer *writer
}

// New opens the log on a file, usually standard error.
func New(f *os.File, name string) *Log {
	w := &writer{lines: make(chan []byte, maxQueuedLines), flushRequests: make(chan chan struct{})}
	go w.run(f)
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.ISO8601TimeEncoder
	z := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(c), w, zap.InfoLevel)).With(zap.String("node", name))
	return &Log{z, w}
}

// ConnectionEnded notes that a connection has ended.
func (l *Log) ConnectionEnded(code Code, peer string, served int, err error) {
	f := []zap.Field{zap.String("code", string(code)), zap.String("peer", peer), zap.Int("served", served)}
	if err != nil {
		f = append(f, zap.Error(err))
	}
	l.Info("connection ended", f...)
}

// Rejected notes that something with a code of its own was refused.
func (l *Log) Rejected(code Code, what string, err error) {
	l.Warn(what, zap.String("code", string(code)), zap.Error(err))
}

// Dropped is how many lines found no room.
func (l *Log) Dropped() uint64 { return l.writer.dropped.Load() }

// SchedulerLine implements core.Log.
func (l *Log) SchedulerLine(text string) { l.Info("module", zap.String("text", text)) }

// RequestEnded implements core.Log: what was not served, or reached nobody, is worth a line.
func (l *Log) RequestEnded(r *core.Request, a core.Answer) {
	if a.Kind != core.Answered || r.ClientGone() {
		l.Info("request ended", zap.String("id", r.ID), zap.Stringer("end", a.Kind), zap.Int("class", r.Class),
			zap.Bool("client_left", r.ClientGone()))
	}
}

// Close writes out what is queued, for a short time at most.
func (l *Log) Close() {
	done := make(chan struct{})
	select {
	case l.writer.flushRequests <- done:
	case <-time.After(flushTimeout):
		return
	}
	select {
	case <-done:
	case <-time.After(flushTimeout):
	}
}
