package logs

import (
	"os"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"ternstage/internal/core"
)

// Log is the broker's log. It implements core.Log and may be used from any thread.
type Log struct {
	*zap.Logger
	writer *writer
}

// New returns a log that writes to file, usually standard error, from a goroutine that runs until the process ends.
// Each line has the broker's name.
func New(file *os.File, brokerName string) *Log {
	writer := newWriter()
	go writer.run(file)
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.ISO8601TimeEncoder
	zapCore := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), writer, zap.InfoLevel)
	return &Log{zap.New(zapCore).With(zap.String("broker", brokerName)), writer}
}

// ConnectionEnded logs the end of a connection. peer is the address of the other side, served is the number of
// requests, parts or calls that were answered on the connection, and err is the error that ended it, or nil.
func (l *Log) ConnectionEnded(code Code, peer string, served int, err error) {
	fields := []zap.Field{zap.String("code", string(code)), zap.String("peer", peer), zap.Int("served", served)}
	if err != nil {
		fields = append(fields, zap.Error(err))
	}
	l.Info("connection ended", fields...)
}

// Rejected logs message as a warning with code and err, for example that a shard map was rejected.
func (l *Log) Rejected(code Code, message string, err error) {
	l.Warn(message, zap.String("code", string(code)), zap.Error(err))
}

// SchedulerLine logs a line of text from the scheduler. It implements core.Log.
func (l *Log) SchedulerLine(text string) { l.Info("scheduler", zap.String("text", text)) }

// RequestEnded logs a request that was not answered, or whose client had disconnected. Other requests are not logged.
// It implements core.Log.
func (l *Log) RequestEnded(request *core.Request, answer core.Answer) {
	if answer.Kind == core.Answered && !request.ClientDisconnected() {
		return
	}
	l.Info("request ended", zap.String("id", request.ID), zap.Stringer("end", answer.Kind),
		zap.Int("class", request.Class), zap.Bool("client_disconnected", request.ClientDisconnected()))
}

// Dropped returns the number of lines that have been dropped because the queue was full.
func (l *Log) Dropped() uint64 { return l.writer.dropped.Load() }

// Close waits until the queued lines are written, for at most twice flushTimeout. The log can still be used
// afterwards.
func (l *Log) Close() { l.writer.flush() }
