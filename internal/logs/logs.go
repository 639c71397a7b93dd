// Package logs writes the program's log with zap, one line for each connection that ends among others, and
// never makes the loop wait for whoever reads it. docs/LOGS.md lists the codes.
package logs

import (
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ternstage/internal/core"
)

// Code is the reason for which a connection ended.
type Code string

// The reasons; docs/LOGS.md documents them.
const (
	ClientClosed            Code = "C01" // it asked for the close, or the answer carried it
	ClientLeftIdle          Code = "C02" // it closed between requests
	ClientLeftRequest       Code = "C03" // it closed or reset while a request was open
	ClientMalformed         Code = "C04" // answered 400
	ClientEvicted           Code = "C05" // idle, and its descriptor was needed
	ClientRequestTimeout    Code = "C06" // a request that did not come whole in time
	ClientNoRequest         Code = "C07" // it never said anything
	ClientNoDescriptor      Code = "C08" // no descriptor for it
	BackendConnectFailed    Code = "L01"
	BackendDialTimeout      Code = "L02"
	BackendReset            Code = "L03"
	BackendClosed           Code = "L04"
	BackendIdle             Code = "L05"
	BackendMalformedFrame   Code = "L06"
	BackendWriteStalled     Code = "L07"
	BackendEvicted          Code = "L08"
	BackendAddressChanged   Code = "L10" // the list names another address
	BackendUnresponsive     Code = "L09" // a part was given up on it and nothing had come since
	BackendConnectionLimit  Code = "L11" // backends hold no more connections: idle ones beyond the limit go
	DiscoveryClosed         Code = "D01"
	DiscoveryReset          Code = "D02"
	DiscoveryConnectFailed  Code = "D03"
	DiscoveryTimeout        Code = "D04"
	DiscoveryMalformed      Code = "D05"
	DiscoveryAddressChanged Code = "D06"
	DiscoveryUnresponsive   Code = "D07" // an agent that is pushed lists does not answer: the last list holds
	DiscoveryListRejected   Code = "D08" // a list that would undo what is known
	ShardMapClosed          Code = "M01"
	ShardMapReset           Code = "M02"
	ShardMapConnectFailed   Code = "M03"
	ShardMapTimeout         Code = "M04"
	ShardMapMalformed       Code = "M05"
	ShardMapWatchCut        Code = "M06" // a node or client told of a newer map while a watch was out
	ShardMapRejected        Code = "M10" // a map or a change was refused: the one in use stays
	ShardMapCacheFailed     Code = "M11" // the kept map could not be written or used
	Shutdown                Code = "S01"
	OperatorDone            Code = "O01" // an operator's call was answered
	OperatorDisconnected    Code = "O02" // the caller closed before its call came whole, or did not read
	OperatorTimeout         Code = "O03" // the call did not come whole in time, and was answered 408
	OperatorMalformed       Code = "O04" // not a call: answered 400, 413 or 431
	OperatorLimit           Code = "O05" // too many callers at once: the first of them was answered 503
	FlightClientClosed      Code = "F01"
	FlightBackendClosed     Code = "F03"
)

const (
	maxQueuedLines = 1024
	flushTimeout   = 200 * time.Millisecond
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
