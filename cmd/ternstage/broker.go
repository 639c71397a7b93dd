package main

import (
	"os"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"ternstage/internal/config"
	"ternstage/internal/control/adminapi"
	"ternstage/internal/control/adminops"
	"ternstage/internal/control/listenerhandover"
	"ternstage/internal/core"
	"ternstage/internal/decision/endpointpoll"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/logs"
	"ternstage/internal/transport/backendpool"
	"ternstage/internal/transport/discovery"
	"ternstage/internal/transport/flight"
	"ternstage/internal/transport/httpfront"
	"ternstage/internal/transport/loop"
)

// Files in $TMPDIR, which the processes of one broker share. Earlier versions use the same names.
const (
	// suspensionsFile stores the backends that operators have suspended.
	suspensionsFile = "ternstage-held-leafs.json"
	// handoverFile stores the attempts that a process sent to warming backends before it handed over.
	handoverFile = "ternstage-cold-sent.json"
)

// broker holds the components of one broker. All components but the log may be used only on the event loop.
type broker struct {
	config    *config.Config
	features  *features
	log       *logs.Log
	startedAt time.Time

	loop        *loop.Loop
	endpoints   *discovery.Registry
	shardMap    *shardmap.Map // nil if the placement is fixed
	core        *core.Core
	limits      connectionLimits
	clientBytes clientBytes
	front       *httpfront.Server
	flightFront *flight.Front           // nil if it is disabled
	flightOffer *listenerhandover.Offer // nil unless its listener is offered to a successor
	transport   backendTransport
	watcher     *discovery.Watcher
	control     *adminops.Control // nil without an admin API

	closers []func() // called by close; see onClose
}

// backendTransport is a core.Transport that the program can close.
type backendTransport interface {
	core.Transport
	Close()
}

// build creates the components of the broker. The order of the steps matters: timers that are due at the same time
// fire in the order of their creation, and the loop keeps descriptors in the order in which they were added.
func (b *broker) build() error {
	if err := b.newCore(); err != nil {
		return err
	}
	b.limitConnections()
	if err := b.listenClients(); err != nil {
		return err
	}
	b.newTransport()
	b.newWatcher()
	if err := b.listenAdmin(); err != nil {
		return err
	}
	b.followEndpointList()
	b.followCatalogue()
	b.loop.OnWakeUpEnd(b.core.RunRound)
	b.loop.OnRoundDelayed(b.logRoundDelay)
	return b.listenFlight()
}

// logRoundDelay logs that a scheduling round is delayed: the broker has more work than its share of the CPU allows, or
// the process was held up.
func (b *broker) logRoundDelay(delay loop.RoundDelay) {
	b.log.Warn("scheduling round delayed", zap.Float64("delay_ms", delay.DelayMs), zap.Int("polls", delay.Polls),
		zap.Int("events", delay.Events), zap.Float64("longest_event_ms", delay.LongestEventMs))
}

// onClose registers a function that close calls. Functions that are registered later are called earlier.
func (b *broker) onClose(closer func()) { b.closers = append(b.closers, closer) }

// close calls the functions that were registered with onClose, the last one first. It is called however the run ends.
func (b *broker) close() {
	for i := len(b.closers) - 1; i >= 0; i-- {
		b.closers[i]()
	}
}

// closeConnections closes the connections of clients, backends and discovery after the loop has ended.
func (b *broker) closeConnections() {
	b.front.Close()
	b.transport.Close()
	b.watcher.Close()
}

// newCore creates the event loop and the core with its scheduler.
func (b *broker) newCore() error {
	eventLoop, err := loop.New()
	if err != nil {
		return err
	}
	b.loop = eventLoop
	clock := newCoreClock(eventLoop)
	b.endpoints = discovery.NewRegistry(b.config.Zones)
	b.newShardMap()
	b.core, err = core.New(b.config.Scheduler, b.config.Seed, core.Options{
		MaxOpen:  b.config.MaxOpen,
		Clock:    clock,
		Log:      b.log,
		ShardMap: b.shardMap,
	})
	return err
}

// coreClock adapts the event loop to core.Clock, with a single timer for everything that core waits for.
type coreClock struct {
	*loop.Loop
	timer *loop.Timer
}

// newCoreClock returns a coreClock. Its timer only wakes the loop up, since every wake-up ends with a scheduling
// round.
func newCoreClock(eventLoop *loop.Loop) *coreClock {
	return &coreClock{Loop: eventLoop, timer: eventLoop.NewTimer(func() {})}
}

// WakeAt implements core.Clock.
func (c *coreClock) WakeAt(atMs float64) { c.timer.SetEarlier(atMs) }

// limitConnections divides the descriptors between the kinds of connections.
func (b *broker) limitConnections() {
	b.limits = divideDescriptors(allowedDescriptors(b.config.MaxDescriptors, b.log), b.config.AdminAddress != "",
		b.features.flight.Enabled, b.features.flight.MaxConnections)
	b.features.flight.MaxConnections = b.limits.flight
	limitBytes := b.config.MemoryMB * bytesPerMB
	b.clientBytes = divideClientBytes(limitBytes, heapLimitBytes(limitBytes, programTextBytes()),
		b.features.flight.Enabled)
	b.features.flight.MaxBufferedBytes = b.clientBytes.flight
}

// listenClients opens the HTTP front.
func (b *broker) listenClients() error {
	front, err := httpfront.NewServer(b.loop, b.core, b.config.Contracts, b.log, b.config.Listen, httpfront.Options{
		MaxConnections:   b.limits.clients,
		MaxBufferedBytes: b.clientBytes.http,
		Pages:            b.pages(),
		InheritedFD:      b.config.InheritedFD,
	}, b.isReady)
	if err != nil {
		return err
	}
	b.front = front
	return nil
}

// isReady reports whether the broker has an endpoint list with backends and, with resharding, a shard map.
func (b *broker) isReady() bool {
	return b.endpoints.Len() > 0 && (b.shardMap == nil || b.core.Epoch() > 0)
}

// newTransport creates the client that sends parts to backends, by frames or by Flight.
func (b *broker) newTransport() {
	if b.features.flight.Backends {
		b.transport = flight.NewBackendClient(b.loop, b.core, b.log, flight.BackendOptions{
			StreamsPerConnection: b.config.StreamsPerConnection,
			DialTimeoutMs:        b.config.DialTimeoutMs,
			IdleTimeoutMs:        b.config.IdleTimeoutMs,
			MaxConnections:       b.limits.backends,
		}, b.endpoints.Address)
		return
	}
	b.transport = backendpool.NewPool(b.loop, b.core, b.log, backendpool.Options{
		MaxPartsPerCall:      b.config.Scheduler.MaxPartsPerCall,
		StreamsPerConnection: b.config.StreamsPerConnection,
		DialTimeoutMs:        b.config.DialTimeoutMs,
		IdleTimeoutMs:        b.config.IdleTimeoutMs,
		MaxConnections:       b.limits.backends,
		Resharding:           b.shardMap != nil,
		FreeDescriptor:       b.front.FreeDescriptor,
	}, b.endpoints.Address)
}

// newWatcher creates the watcher of the endpoint list, which followEndpointList starts, and attaches it and the
// transport to the core.
func (b *broker) newWatcher() {
	settings := b.config.Scheduler
	poller := endpointpoll.NewPoller(endpointpoll.Options{
		Pushed:      !settings.PollEndpoints,
		DrainGrace:  settings.DrainGrace,
		BrokerIndex: settings.BrokerIndex,
		BrokerCount: settings.BrokerCount,
	})
	b.watcher = discovery.NewWatcher(b.loop, b.core, b.log, b.endpoints, poller, b.config.Discovery,
		b.front.FreeDescriptor)
	b.core.Attach(b.transport, b.watcher)
}

// listenAdmin opens the admin API if the configuration has an address for it. Suspensions are read before the
// endpoint list, so that no suspended backend is selected at the start.
func (b *broker) listenAdmin() error {
	if b.config.AdminAddress == "" {
		return nil
	}
	path := filepath.Join(os.TempDir(), suspensionsFile)
	b.control = adminops.New(b.loop, b.log, path, b.endpoints, b.core, b.front)
	b.endpoints.SetSuspender(b.control.Suspensions())
	if b.inheritsListener() {
		b.control.EnableHandover(b.handoverConfig())
	}
	server, err := adminapi.Listen(b.loop, b.control, b.log, b.config.AdminAddress)
	if err != nil {
		return err
	}
	b.onClose(server.Close)
	b.control.Start()
	return nil
}

// inheritsListener reports whether the platform passed an open listener for clients to this process. The platform
// keeps that listener open, and another process takes it over when this one ends.
func (b *broker) inheritsListener() bool { return b.config.InheritedFD > 0 }

func (b *broker) handoverConfig() adminops.HandoverConfig {
	return adminops.HandoverConfig{
		Path:          filepath.Join(os.TempDir(), handoverFile),
		WindowMs:      b.config.Scheduler.SlowStart.Window,
		StartedUnixMs: unixMs(b.startedAt),
		BrokerCount:   b.config.Scheduler.BrokerCount,
		SlowStart:     b.core,
		IsListed:      func(replica uint32) bool { return b.endpoints.Address(replica) != "" },
	}
}

// unixMs returns a time as Unix time in milliseconds, with microseconds as a fraction.
func unixMs(at time.Time) float64 {
	const microsecondsPerMs = 1000
	return float64(at.UnixMicro()) / microsecondsPerMs
}

// followEndpointList applies the endpoint list of the configuration and starts to follow discovery.
func (b *broker) followEndpointList() {
	b.watcher.LoadCached(b.config.KnownEndpoints)
	b.watcher.Start()
}
