package main

import (
	"os"
	"os/signal"
	"runtime"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/config"
	"ternstage/internal/control/reload"
	"ternstage/internal/logs"
)

// serve runs the broker until it has shut down after SIGTERM or SIGINT.
func serve(operatorFile string) error {
	startedAt := time.Now()
	signals := notifySignals()
	cfg, err := config.Load()
	if err != nil {
		return err
	}
	enabled, err := loadFeatures(operatorFile)
	if err != nil {
		return err
	}
	limitRuntime(cfg)
	log := logs.New(os.Stderr, cfg.Name)
	defer log.Close()

	b := &broker{config: cfg, features: enabled, log: log, startedAt: startedAt}
	defer b.close()
	if err := b.build(); err != nil {
		return err
	}
	b.handleSignals(signals)
	b.logServing()
	if err := b.loop.Run(); err != nil {
		return err
	}
	counts := b.core.Counts()
	b.closeConnections()
	log.Info("stopped", zap.Uint64("submitted", counts.Submitted), zap.Uint64("answered", counts.Answered),
		zap.Uint64("rejected", counts.Rejected), zap.Uint64("failed", counts.Failed),
		zap.Uint64("log_lines_dropped", log.Dropped()), zap.Int("goroutines", runtime.NumGoroutine()))
	return nil
}

// processSignals are the signals that the broker handles.
type processSignals struct {
	reload    chan os.Signal // SIGHUP
	terminate chan os.Signal // SIGTERM, SIGINT
}

// notifySignals registers the signals. It must be called before anything else: by default, these signals would end
// the program while it starts. A signal that arrives before handleSignals is called is handled when it is called.
func notifySignals() processSignals {
	signals := processSignals{reload: make(chan os.Signal, 1), terminate: make(chan os.Signal, 1)}
	signal.Notify(signals.reload, unix.SIGHUP)
	signal.Notify(signals.terminate, unix.SIGTERM, unix.SIGINT)
	return signals
}

// handleSignals starts to handle the signals: the first terminate signal shuts the broker down, and each reload
// signal reloads the configuration.
func (b *broker) handleSignals(signals processSignals) {
	shutdown := newGracefulShutdown(b)
	go func() {
		<-signals.terminate
		b.loop.Post(shutdown.begin)
	}()
	go reload.New(b.loop, b.log, b.watcher, b.config).Serve(signals.reload)
}

func (b *broker) logServing() {
	if b.features.flightFromTOML {
		b.log.Info("flight.toml is read; its place is the operator's file now, see deploy/operator.jsonnet")
	}
	b.log.Info("serving", zap.String("listen", b.config.Listen), zap.Int("endpoints", b.endpoints.Len()),
		zap.Bool("flight", b.features.flight.Enabled), zap.Bool("resharding", b.shardMap != nil),
		zap.Int("goroutines", runtime.NumGoroutine()))
}
