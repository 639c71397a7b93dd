package adminops

import (
	"os"

	"go.uber.org/zap"

	"ternstage/internal/decision/handover"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/store/statefile"
)

// SlowStartSender is the scheduler as the sender of slow-start traffic to warming backends.
type SlowStartSender interface {
	// HandOver stops sending to warming backends and returns the attempts of the last slow-start window.
	HandOver() []scheduler.WarmupAttempt
	// TakeOver counts attempts of a predecessor as the scheduler's own.
	TakeOver(attempts []scheduler.WarmupAttempt)
	// OtherProcessActive informs the scheduler that another process may be sending to warming backends. The scheduler
	// then sends nothing to them until TakeOver, or until a slow-start window has passed since the last such call.
	OtherProcessActive()
}

// HandoverConfig configures the handover between two processes of a broker.
type HandoverConfig struct {
	// Path is the path of the handover record, in a directory that the processes share.
	Path string
	// WindowMs is the length of the slow-start window in milliseconds.
	WindowMs float64
	// StartedUnixMs is when this process started, in milliseconds of Unix time.
	StartedUnixMs float64
	// BrokerCount is the number of brokers in the settings; 0 if it is unknown.
	BrokerCount int
	// SlowStart is the scheduler whose attempts are passed to a successor, and which takes over those of a predecessor.
	SlowStart SlowStartSender
	// IsListed reports whether the backend with this replica number is listed here.
	IsListed func(replica uint32) bool
}

// handoverExchange passes the attempts sent to warming backends between processes: at most once from a predecessor,
// and at most once to a successor.
type handoverExchange struct {
	log          *logs.Log
	config       HandoverConfig
	successor    handover.Successor // decides whether this process applies a record
	otherProcess *processDetector

	current    statefile.Fingerprint // of the record that was last read
	unusable   statefile.Fingerprint // of a record that cannot be read, which is logged once
	pending    *handover.Record      // the record that is not yet applied or ignored; nil if there is none
	waitLogged bool                  // it was logged that a record waits for its backends to be listed
	finished   bool                  // a record was applied, or written by this process: no further record is read
}

func newHandoverExchange(log *logs.Log, config HandoverConfig) *handoverExchange {
	return &handoverExchange{
		log:    log,
		config: config,
		successor: handover.Successor{
			StartedUnixMs: config.StartedUnixMs,
			WindowMs:      config.WindowMs,
			BrokerCount:   config.BrokerCount,
			Known:         config.IsListed,
		},
		otherProcess: newProcessDetector(log, config.Path+servingSuffix),
	}
}

// handOver writes a record of the attempts of this process for its successor.
func (h *handoverExchange) handOver() {
	h.finished = true // the record in the file is no longer a predecessor's
	attempts := h.config.SlowStart.HandOver()
	err := statefile.Write(h.config.Path, handover.Encode(unixNowMs(), h.config.BrokerCount, attempts))
	h.log.Info("slow-start sends handed over", zap.Int("sent", len(attempts)), zap.Error(err))
}

// poll applies the record of a predecessor once that is possible. Until then, while another process serves, each poll
// calls OtherProcessActive, because otherwise each of the two processes would use the whole slow-start quota.
func (h *handoverExchange) poll() {
	otherServes := h.otherProcess.detect()
	if h.finished {
		return
	}
	if otherServes {
		h.config.SlowStart.OtherProcessActive()
	}
	readable := h.readRecord()
	if readable && h.pending != nil {
		h.decide()
	}
}

// readRecord reads the record into pending if the file has changed. It returns false if the file has changed and
// cannot be read.
func (h *handoverExchange) readRecord() (readable bool) {
	fingerprint, err := statefile.Stat(h.config.Path)
	if err != nil || fingerprint == h.current || fingerprint == h.unusable {
		return true
	}
	record, err := readHandover(h.config.Path)
	if err != nil {
		h.unusable = fingerprint
		h.log.Warn("slow-start sends not taken over", zap.String("file", h.config.Path), zap.Error(err))
		return false
	}
	h.current = fingerprint
	h.pending = &record
	return true
}

func readHandover(path string) (handover.Record, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return handover.Record{}, err
	}
	return handover.Decode(text)
}

// decide applies or ignores the pending record, or leaves it pending until the record's backends are listed here.
func (h *handoverExchange) decide() {
	nowUnixMs := unixNowMs()
	switch h.successor.Decide(h.pending, nowUnixMs) {
	case handover.Ignore:
		h.logNotApplied("written before this process started", nowUnixMs)
		h.pending = nil
	case handover.DifferentFleet:
		h.logNotApplied("written by a process with another number of brokers", nowUnixMs)
		h.pending = nil
	case handover.Wait:
		if !h.waitLogged {
			h.logNotApplied("it names backends that are not listed here yet", nowUnixMs)
		}
		h.waitLogged = true
	case handover.Apply:
		attempts := handover.AgeAttempts(h.pending, nowUnixMs, h.config.WindowMs)
		h.config.SlowStart.TakeOver(attempts)
		h.finished = true
		h.pending = nil
		h.log.Info("slow-start sends taken over", zap.Int("sent", len(attempts)))
	}
}

func (h *handoverExchange) logNotApplied(reason string, nowUnixMs float64) {
	h.log.Warn("slow-start sends not taken over", zap.String("file", h.config.Path), zap.String("reason", reason),
		zap.Float64("age_ms", nowUnixMs-h.pending.WrittenUnixMs))
}
