package main

import (
	"math"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/backends"
	"ternstage/internal/catalog"
	"ternstage/internal/clients"
	"ternstage/internal/config"
	"ternstage/internal/core"
	"ternstage/internal/discovery"
	"ternstage/internal/flight"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/membership"
	"ternstage/internal/ops/adminapi"
	"ternstage/internal/ops/control"
	"ternstage/internal/reload"
	"ternstage/internal/slicemap"
)

const (
	memoryShare = 0.6    // of the limit for the Go heap: the rest is the program's text, stacks and the kernel's
	leastFiles  = 48     // descriptors with which the program starts at all
	spareFiles  = 24     // descriptors for the loop, discovery, the log and the runtime
	leafShare   = 4      // one in so many of the others is for leafs
	clientBytes = 6      // one in so many bytes of the memory is for what clients send and are sent
	listenOn    = 650.0  // ms after SIGTERM in which new connections still come
	killMost    = 3000.0 // ms: a longer deadline of a class does not put off SIGKILL, which comes no sooner than
	killSpare   = 700.0  // so long after the longest deadline
	answerSpare = 150.0  // ms before SIGKILL by which all is answered
	closeSpare  = 80.0   // ms before SIGKILL by which we no longer wait for clients to close in their turn
	exitBy      = 60_000 // ms after SIGTERM at the latest
)

// keptIdle is when, in ms after SIGTERM, connections that have stayed idle are closed where another process
// takes over the listener: until then, each that is used again is ended by its answer, and no client finds
// one closed under its request.
const keptIdle = 1000.0

// suspensionsFile keeps the leafs that operators hold out, in $TMPDIR, which the processes of an aggregator share.
const suspensionsFile = "ternstage-held-leafs.json"

// handoverFile keeps what the process that hands over had sent to cold leafs, beside it.
const handoverFile = "ternstage-cold-sent.json"

// serve runs the broker until it is told to end.
func serve(operatorFile string) error {
	started := time.Now()
	// Before anything else: guards against signals whose default action would end the program while it starts.
	hangups, signals := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hangups, unix.SIGHUP)
	signal.Notify(signals, unix.SIGTERM, unix.SIGINT)
	cfg, err := config.Load()
	if err != nil {
		return err
	}
	x, err := loadExtras(operatorFile)
	if err != nil {
		return err
	}
	fc := x.flight
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.Cores))))
	debug.SetMemoryLimit(int64(float64(cfg.MemoryMB) * memoryShare * (1 << 20)))
	log := logs.New(os.Stderr, cfg.Name)
	defer log.Close()

	l, err := loop.New()
	if err != nil {
		return err
	}
	clock := &waker{Loop: l}
	clock.timer = l.NewTimer(func() {}) // a wake-up is all it is for: the turn follows every one
	nodes := discovery.NewRegistry(cfg.Zones)
	m := x.slices(cfg, nodes)
	c, err := core.New(cfg.Scheduler, cfg.Seed, core.Options{MaxOpen: cfg.MaxOpen, Clock: clock, Log: log,
		ShardMap: m})
	if err != nil {
		return err
	}
	files := descriptors(cfg.MaxDescriptors, log) - spareFiles
	if cfg.AdminAddress != "" {
		files -= adminapi.MaxConnections + 1 // the admin API and its callers
	}
	clientFiles := files - files/leafShare
	if fc.Enabled {
		// Flight's connections come out of the clients' part of the descriptors.
		fc.MaxConnections = min(fc.MaxConnections, clientFiles/2)
		clientFiles -= fc.MaxConnections
	}
	server, err := clients.NewServer(l, c, cfg.Contracts, log, cfg.Listen,
		clients.Options{MaxConnections: clientFiles, MaxBufferedBytes: cfg.MemoryMB << 20 / clientBytes, Pages: x.pages(c, m),
			InheritedFD: cfg.InheritedFD},
		func() bool { return nodes.Len() > 0 && (m == nil || c.Epoch() > 0) })
	if err != nil {
		return err
	}
	var back backend
	if fc.Backends {
		back = flight.NewBackendClient(l, c, log, flight.BackendOptions{StreamsPerConnection: cfg.StreamsPerConnection, DialTimeout: cfg.DialTimeout,
			KeepAlive: cfg.KeepAlive, MaxConnections: files / leafShare}, nodes.Address)
	} else {
		back = backends.NewPool(l, c, log, backends.Options{MaxPartsPerCall: cfg.Scheduler.MaxPartsPerCall, StreamsPerConnection: cfg.StreamsPerConnection,
			DialTimeout: cfg.DialTimeout, KeepAlive: cfg.KeepAlive, MaxConnections: files / leafShare, Resharding: m != nil,
			FreeDescriptor: server.FreeDescriptor}, nodes.Address)
	}
	reader := membership.NewPoller(membership.Options{Pushed: !cfg.Scheduler.PollEndpoints,
		DrainGrace: cfg.Scheduler.DrainGrace, BrokerIndex: cfg.Scheduler.BrokerIndex, BrokerCount: cfg.Scheduler.BrokerCount})
	watch := discovery.NewWatcher(l, c, log, nodes, reader, cfg.Discovery, server.FreeDescriptor)
	c.Attach(back, watch)
	var ops *control.Control
	if cfg.AdminAddress != "" {
		// Held leafs are read before the list, so that none of them is taken for serving at the start.
		ops = control.New(l, log, filepath.Join(os.TempDir(), suspensionsFile), nodes, c, server)
		nodes.SetSuspender(ops.Suspensions())
		if cfg.InheritedFD > 0 {
			ops.EnableHandover(control.HandoverConfig{Path: filepath.Join(os.TempDir(), handoverFile), WindowMs: cfg.Scheduler.SlowStart.Window,
				StartedUnixMs: float64(started.UnixMicro()) / 1000, BrokerCount: cfg.Scheduler.BrokerCount, Core: c,
				Known: func(x uint32) bool { return nodes.Address(x) != "" }})
		}
		d, err := adminapi.Listen(l, ops, log, cfg.AdminAddress)
		if err != nil {
			return err
		}
		defer d.Close()
		ops.Start()
	}
	watch.LoadKnown(cfg.KnownEndpoints)
	watch.Start()
	if m != nil {
		var source slicemap.Source = catalog.NewSource(l, c, log, x.catalogue(cfg))
		c.OnNewerMap(source.NewerEpochSeen)
		defer x.cached(c, m, log)()
		l.Post(source.Start)
		defer source.Close()
	}
	l.OnRoundEnd(c.RunRound)

	stop := &stopper{loop: l, core: c, server: server, longest: min(cfg.Contracts.LongestDeadline(), killMost),
		listenFor: listenOn, ops: ops}
	if cfg.InheritedFD > 0 {
		// Who takes over accepts on the same socket, and what waits in it is left to them.
		stop.listenFor, stop.kept = 0, true
	}
	if fc.Enabled {
		if stop.front, err = flight.Listen(fc, l, c, cfg.Contracts, log); err != nil {
			return err
		}
	}
	stop.timer = l.NewTimer(stop.step)
	go func() {
		<-signals
		l.Post(stop.begin)
	}()
	go reload.New(l, log, watch, cfg).Serve(hangups)
	if x.toml {
		log.Info("flight.toml is read; its place is the operator's file now, see deploy/operator.jsonnet")
	}
	log.Info("serving", zap.String("listen", cfg.Listen), zap.Int("known", nodes.Len()),
		zap.Bool("flight", fc.Enabled), zap.Bool("slices_move", m != nil), zap.Int("goroutines",
			runtime.NumGoroutine()))
	if err := l.Run(); err != nil {
		return err
	}
	counts := c.Counts()
	server.Close()
	back.Close()
	watch.Close()
	log.Info("stopped", zap.Uint64("taken", counts.Submitted), zap.Uint64("answered", counts.Answered),
		zap.Uint64("refused", counts.Rejected), zap.Uint64("failed", counts.Failed),
		zap.Uint64("log_lines_dropped", log.Dropped()), zap.Int("goroutines", runtime.NumGoroutine()))
	return nil
}

// descriptors is how many the process may hold: what it is told, or what the system allows if that is less.
func descriptors(told int, log *logs.Log) int {
	var r unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &r); err != nil || r.Cur >= uint64(told) {
		return told
	}
	log.Warn("fewer descriptors than the limits say", zap.Int("sockets", told), zap.Uint64("allowed", r.Cur))
	return max(int(r.Cur), leastFiles)
}

// backend is a core.Backend that the program can close.
type backend interface {
	core.Backend
	Close()
}

// waker is the loop as core sees it: one timer for all that core waits for.
type waker struct {
	*loop.Loop
	timer *loop.Timer
}

// WakeAt implements core.Clock.
func (w *waker) WakeAt(at float64) { w.timer.SetEarlier(at) }

// stopper ends the program after SIGTERM. Clients use the connections they have for as long as these stay
// open, and who takes over may not be up yet: the broker serves on as long as what it takes can be answered
// before SIGKILL, then closes what is idle, answers all that is taken and exits.
type stopper struct {
	loop    *loop.Loop
	core    *core.Core
	server  *clients.Server
	front   *flight.Front    // nil where Flight is off
	ops     *control.Control // nil where there is no admin API
	timer   *loop.Timer
	longest float64 // ms: the longest deadline, as it puts SIGKILL off
	// ms after SIGTERM in which connections are still accepted
	listenFor float64
	kept      bool // the listener is the platform's: connections are left to end by the answers that say so
	began     float64
	ending    bool // the Flight front is
}

func (s *stopper) begin() {
	if s.began == 0 {
		s.began = s.loop.Now()
		s.server.BeginShutdown()
		if s.ops != nil {
			s.ops.Stop()
		}
		s.core.SetFinalAnswerDeadline(s.began + s.longest + killSpare - answerSpare)
		s.step()
	}
}

func (s *stopper) step() {
	const every = 10.0
	past := s.loop.Now() - s.began
	open, serving := s.server.ConnectionCounts()
	if past >= max(s.longest, s.listenFor) || past >= s.listenFor && (open == 0 || s.kept) {
		s.server.StopListening()
		if !s.kept || past >= keptIdle {
			s.server.CloseIdle()
		}
		if s.front != nil && !s.ending {
			s.ending = true
			s.front.Stop(func() { s.front = nil })
		}
		if past >= s.longest+killSpare-closeSpare && serving == 0 {
			open = 0
		}
		if s.core.OpenRequests() == 0 && s.front == nil && open == 0 || past >= exitBy {
			s.loop.Stop()
			return
		}
	}
	s.timer.Set(s.loop.Now() + every)
}
