package adminops

import (
	"os"

	"go.uber.org/zap"

	"ternstage/internal/decision/handover"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/store/statefile"
)

// SlowStartSender is the scheduler as the sender of slow-start traffic.
type SlowStartSender interface {
	// HandOver ends sends to warming backends and returns those within the last window.
	HandOver() []scheduler.WarmupAttempt
	// TakeOver counts sends of a predecessor as the scheduler's own.
	TakeOver(sends []scheduler.WarmupAttempt)
	// OtherProcessActive notifies that another process sends to warming backends now: nothing is sent to them for a
	// window.
	OtherProcessActive()
}

// HandoverConfig says how the processes of a broker hand over.
type HandoverConfig struct {
	// Path is that of the record, in the directory that the processes share.
	Path string
	// WindowMs is the length of the slow-start window in milliseconds.
	WindowMs float64
	// StartedUnixMs is when this process started, in milliseconds of Unix time.
	StartedUnixMs float64
	// BrokerCount is the number of brokers in the settings; 0 is unknown.
	BrokerCount int
	// Core gives its sends to a successor, and takes over a predecessor's.
	Core SlowStartSender
	// Known reports whether the backend with this replica number is listed here.
	Known func(replica uint32) bool
}

// handoverExchange passes sends to warming backends between processes: at most once from a predecessor, at most once
// to a successor.
type handoverExchange struct {
	log          *logs.Log
	config       HandoverConfig
	successor    handover.Successor // this process, as it takes over
	otherProcess *processDetector

	current    statefile.Fingerprint // of the record that was last read
	unusable   statefile.Fingerprint // of a record that cannot be read, which is logged once
	pending    *handover.Record      // read and not decided on, nil when there is none
	waitLogged bool
	settled    bool // a record was applied, or written by this process
}

func newHandoverExchange(log *logs.Log, config HandoverConfig) *handoverExchange {
	return &handoverExchange{
		log:    log,
		config: config,
		successor: handover.Successor{
			StartedUnixMs: config.StartedUnixMs,
			WindowMs:      config.WindowMs,
			BrokerCount:   config.BrokerCount,
			Known:         config.Known,
		},
		otherProcess: newProcessDetector(log, config.Path+servingSuffix),
	}
}

// handOver writes what this process sent, for its successor.
func (h *handoverExchange) handOver() {
	h.settled = true // the record in the file is no longer a predecessor's
	sends := h.config.Core.HandOver()
	err := statefile.Write(h.config.Path, handover.Encode(unixNowMs(), h.config.BrokerCount, sends))
	h.log.Info("slow-start sends handed over", zap.Int("sent", len(sends)), zap.Error(err))
}

// poll takes over from a predecessor once its record can be applied. Until then the scheduler is notified, at each
// poll, of another process that serves: each of the two would use the whole quota.
func (h *handoverExchange) poll() {
	otherServes := h.otherProcess.detect()
	if h.settled {
		return
	}
	if otherServes {
		h.config.Core.OtherProcessActive()
	}
	readable := h.readRecord()
	if readable && h.pending != nil {
		h.decide()
	}
}

// readRecord reads the record if it has changed. It returns false when the record cannot be read.
func (h *handoverExchange) readRecord() bool {
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
		sends := handover.AgeAttempts(h.pending, nowUnixMs, h.config.WindowMs)
		h.config.Core.TakeOver(sends)
		h.settled = true
		h.pending = nil
		h.log.Info("slow-start sends taken over", zap.Int("sent", len(sends)))
	}
}

func (h *handoverExchange) logNotApplied(reason string, nowUnixMs float64) {
	h.log.Warn("slow-start sends not taken over", zap.String("file", h.config.Path), zap.String("reason", reason),
		zap.Float64("age_ms", nowUnixMs-h.pending.WrittenUnixMs))
}
