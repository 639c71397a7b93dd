package world

import (
	"container/heap"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/lab/relay"
	"ternstage/internal/lab/result"
	"ternstage/internal/transport/discovery"
)

const (
	startTimeout = 20 * time.Second // until a broker passes its health check
	stopTimeout  = 20 * time.Second // from SIGTERM until a broker's process exits
	inboxSize    = 4096             // posted functions that can wait
	liveTailMs   = 2500.0           // after the last arrival; longer than the deadline of any class
	memoryMB     = 192              // of a broker
	maxFiles     = 1024             // file descriptors of a broker
	maxLogBytes  = 2000             // of a broker's log in an error message

	// recheckMs is the delay after which a part that seems to be in flight twice is checked again. A cancellation
	// and the next attempt come over two connections, and may be read in either order.
	recheckMs = 50.0
)

// LiveOptions configure a live run.
type LiveOptions struct {
	Binary string // path of the broker's executable
	Dir    string // for configuration files and logs
	Flight bool   // clients and backends speak Flight instead of HTTP/1.1 and frames
}

// live is the state of a live run. The goroutine of RunLive, the event loop, owns the state of the world; the
// goroutines of sockets post functions to it.
type live struct {
	opts  LiveOptions
	inbox chan func()
	start time.Time     // real time at clockStartMs
	done  chan struct{} // closed when the run is over
}

// post has the event loop run a function. It reports false if the run is over.
func (l *live) post(f func()) bool {
	select {
	case l.inbox <- f:
		return true
	case <-l.done:
		return false
	}
}

// unixMs converts a time of the world to Unix time in ms.
func (l *live) unixMs(at float64) int64 { return l.start.UnixMilli() + int64(at-clockStartMs) }

// RunLive runs the experiment in real time against processes of the broker, over loopback sockets. It calls
// tick, unless nil, once a second.
func (s *World) RunLive(ctx context.Context, o LiveOptions,
	tick func(second int, r result.Summary)) (result.Summary, error) {
	if s.e.Arm != exp.Follow {
		return result.Summary{}, fmt.Errorf("arm %s: live runs support only arm %s", s.e.Arm, exp.Follow)
	}
	l := &live{opts: o, inbox: make(chan func(), inboxSize), start: time.Now(), done: make(chan struct{})}
	defer close(l.done)
	s.mode, s.live = "live", l
	s.check.Recheck = func(look func()) { s.schedule(s.now+recheckMs, look) }
	startedAt := time.Now()
	if err := s.openListeners(); err != nil {
		return result.Summary{}, err
	}
	defer func() {
		for _, n := range s.fleet.backends {
			n.listeners.close()
		}
	}()
	var brokers []*processBroker
	for i := range s.e.Brokers {
		b, err := newProcessBroker(s, i)
		if err != nil {
			return result.Summary{}, err
		}
		defer b.close()
		brokers, s.brokers = append(brokers, b), append(s.brokers, b)
		b.start(nil)
	}
	s.runUntil(ctx, func() bool { return firstNotUp(brokers) == nil || time.Since(startedAt) > startTimeout })
	if b := firstNotUp(brokers); b != nil {
		text, _ := os.ReadFile(b.log.Name())
		return result.Summary{}, fmt.Errorf("%s does not serve; its log ends: %s", b.name,
			text[max(0, len(text)-maxLogBytes):])
	}
	s.endMs = s.now + s.e.Seconds*1000
	s.fleet.scheduleEvents()
	s.schedule(s.now+100, s.arrive)
	first := s.now
	if tick != nil {
		s.scheduleTicks(first, tick)
	}
	s.runUntil(ctx, func() bool { return s.now > s.endMs+liveTailMs })
	s.stopped = true
	r := s.Summary()
	if err := stopBrokers(brokers, &r); err != nil {
		return r, err
	}
	r.SimulatedS, r.WallS = (s.now-first)/1000, time.Since(startedAt).Seconds()
	return r, ctx.Err()
}

// scheduleTicks calls tick once a second from now on, with the seconds since first.
func (s *World) scheduleTicks(first float64, tick func(second int, r result.Summary)) {
	s.schedule(s.now+1000, func() {
		tick(int((s.now-first)/1000+0.5), s.Summary())
		s.scheduleTicks(first, tick)
	})
}

// firstNotUp returns the first broker that is not up, or nil.
func firstNotUp(brokers []*processBroker) *processBroker {
	for _, b := range brokers {
		if !b.isUp() {
			return b
		}
	}
	return nil
}

// stopBrokers adds the statistics of all brokers to a summary and stops them in parallel.
func stopBrokers(brokers []*processBroker, r *result.Summary) error {
	stopped := make(chan error, len(brokers))
	for _, b := range brokers {
		b.fetchStats(r)
		go func() { stopped <- b.stop() }()
	}
	var err error
	for range brokers {
		err = errors.Join(err, <-stopped)
	}
	return err
}

// runUntil runs the event loop in real time until isOver reports true: it runs scheduled events and posted functions.
func (s *World) runUntil(ctx context.Context, isOver func() bool) {
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for !isOver() && ctx.Err() == nil {
		s.now = max(s.now, clockStartMs+float64(time.Since(s.live.start))/1e6)
		if len(s.queue) > 0 && s.queue[0].at <= s.now {
			heap.Pop(&s.queue).(event).run()
			continue
		}
		wait := 100 * time.Millisecond
		if len(s.queue) > 0 {
			wait = min(wait, time.Duration((s.queue[0].at-s.now)*1e6))
		}
		t.Reset(wait)
		select {
		case f := <-s.live.inbox:
			s.now = max(s.now, clockStartMs+float64(time.Since(s.live.start))/1e6)
			f()
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// processBroker is a broker that runs as a process of its own. It implements broker.
type processBroker struct {
	world       *World
	index       int
	name        string
	addr        string
	grpcAddr    string
	discovery   *discoveryServer
	cmd         *exec.Cmd
	exited      chan error
	gen         int  // counts the ends of its process
	alive       bool // the process has been started, and has not been killed or stopped
	healthy     bool // the process has passed its health check
	client      client
	log         *os.File
	initialList *discovery.EndpointList
	relays      map[*zoneListener]*relay.Relay // by backend listener; nil if the experiment has no link faults
	baseFault   relay.Fault                    // of the relays while its links are not cut
}

// newProcessBroker prepares a broker; start starts its process.
func newProcessBroker(s *World, i int) (*processBroker, error) {
	b := &processBroker{world: s, index: i, name: fmt.Sprintf("broker-%d", i)}
	if e := s.e; e.HasLinks() {
		b.relays = map[*zoneListener]*relay.Relay{}
		b.baseFault = relay.Fault{Delay: time.Duration(e.Links.Delay[0] * 1e6),
			Jitter: time.Duration((e.Links.Delay[1] - e.Links.Delay[0]) * 1e6), DuplicateShare: e.Links.DuplicateShare}
	}
	var err error
	for _, to := range []*string{&b.addr, &b.grpcAddr} {
		if *to, err = loopback.Free(); err != nil {
			return nil, err
		}
	}
	if b.discovery, err = newDiscovery(s, b); err != nil {
		return nil, err
	}
	if b.log, err = os.Create(filepath.Join(s.live.opts.Dir, b.name+".log")); err != nil {
		return nil, err
	}
	if s.live.opts.Flight {
		b.client, err = newFlightClient(b.grpcAddr)
	} else {
		b.client = newHTTPClient(b.addr)
	}
	return b, err
}

func (b *processBroker) id() string      { return b.name }
func (b *processBroker) generation() int { return b.gen }
func (b *processBroker) isUp() bool      { return b.alive && b.healthy }
func (b *processBroker) notify(upTo int) { b.discovery.notify(upTo) }

// backendStopped implements broker. The connections to the backend have been reset already.
func (b *processBroker) backendStopped(*backend) {}

// backendAddr returns the address at which this broker reaches a backend: that of its listener or of a relay.
func (b *processBroker) backendAddr(l *zoneListener) string {
	if b.relays == nil {
		return l.addr
	}
	r := b.relays[l]
	if r == nil {
		var err error
		if r, err = relay.New(l.addr, !b.world.live.opts.Flight); err != nil {
			_, _ = fmt.Fprintln(b.log, err)
			return l.addr
		}
		r.Set(b.linkFault())
		b.relays[l] = r
	}
	return r.Addr()
}

// linkFault returns the present fault of the broker's links.
func (b *processBroker) linkFault() relay.Fault {
	f := b.baseFault
	f.Cut = b.world.fleet.linksCutUntil[b.index] > b.world.now
	return f
}

// linksChanged implements broker.
func (b *processBroker) linksChanged() {
	for _, r := range b.relays {
		r.Set(b.linkFault())
	}
}

// LinkStats returns the totals of the relays on all links.
func (s *World) LinkStats() (sum relay.Stats) {
	for _, b := range s.brokers {
		if p, ok := b.(*processBroker); ok {
			for _, r := range p.relays {
				stats := r.Stats()
				sum = relay.Stats{Conns: sum.Conns + stats.Conns, Pieces: sum.Pieces + stats.Pieces,
					Duplicated: sum.Duplicated + stats.Duplicated, Reset: sum.Reset + stats.Reset}
			}
		}
	}
	return sum
}

// addStats implements broker. It adds nothing, as fetchStats fetches the statistics at the end of the run.
func (b *processBroker) addStats(*result.Summary) {}

// start starts a process. It ignores the cached shard map, as the process reads one from its own file.
func (b *processBroker) start(*shardmap.Version) {
	s := b.world
	if s.stopped {
		return
	}
	s.check.BrokerRestarted(s.now, b.name)
	if b.initialList == nil { // later processes start with the same list
		list := b.discovery.endpointList(0, true)
		b.initialList = &list
	}
	cmd := exec.Command(s.live.opts.Binary, "serve")
	configPath, operatorPath, err := b.writeFiles()
	if err == nil {
		cmd.Env = append(os.Environ(), "BALANCER_CONFIG="+configPath, "TERNSTAGE_OPERATOR="+operatorPath)
		cmd.Stderr, cmd.Stdout = b.log, b.log
		err = cmd.Start()
	}
	if err != nil {
		_, _ = fmt.Fprintln(b.log, err)
		return
	}
	exited := make(chan error, 1)
	b.cmd, b.exited, b.alive, b.healthy = cmd, exited, true, false
	gen := b.gen
	go func() { exited <- cmd.Wait() }()
	go func() {
		for by := time.Now().Add(startTimeout); time.Now().Before(by); time.Sleep(10 * time.Millisecond) {
			r, err := http.Get("http://" + b.addr + "/_health")
			if err != nil {
				continue
			}
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				s.live.post(func() { b.healthy = b.healthy || gen == b.gen })
				return
			}
		}
	}()
}

// kill kills the process. The checker expects no answers to its requests any more.
func (b *processBroker) kill() {
	_ = b.cmd.Process.Kill()
	<-b.exited
	for _, q := range b.world.queries {
		if q.broker == broker(b) && q.gen == b.gen && !q.ended {
			b.world.check.WaiveAnswer(q.ask.ID)
		}
	}
	b.gen++
	b.alive, b.healthy = false, false
}

// stop terminates the process with SIGTERM, as a planned restart does, and waits for its exit.
func (b *processBroker) stop() error {
	if !b.alive {
		return nil
	}
	b.alive = false
	_ = b.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-b.exited:
		if err != nil {
			return fmt.Errorf("%s exited with an error after SIGTERM: %w; see its log", b.name, err)
		}
		return nil
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s did not exit within %v of SIGTERM", b.name, stopTimeout)
	}
}

// close kills the process if it still runs and releases the resources of the broker.
func (b *processBroker) close() {
	if b.alive {
		b.alive = false
		_ = b.cmd.Process.Kill()
		<-b.exited
	}
	b.client.close()
	for _, r := range b.relays {
		r.Close()
	}
	b.discovery.close()
	_ = b.log.Close()
}

// fetchStats adds the broker's statistics to a summary.
func (b *processBroker) fetchStats(r *result.Summary) {
	if !b.alive {
		return
	}
	c := http.Client{Timeout: 5 * time.Second}
	a, err := c.Get("http://" + b.addr + "/_slices")
	if err != nil {
		return
	}
	defer func() { _ = a.Body.Close() }()
	text, _ := io.ReadAll(a.Body)
	var resharding core.ReshardingStats
	var mapStats shardmap.Stats
	if errors.Join(json.Unmarshal(text, &resharding), json.Unmarshal(text, &mapStats)) == nil {
		r.Add(resharding, mapStats)
		r.MaxRetainedVersions = max(r.MaxRetainedVersions, mapStats.MaxRetainedVersions)
	}
}

// submit sends a query. The end of the query is posted to the event loop.
func (b *processBroker) submit(q *query, r *core.Request) error {
	s, gen, id := b.world, b.gen, q.ask.ID
	timeout := time.Duration((q.ask.Deadline - s.now) * 1e6)
	name := s.e.Classes[q.ask.Class].Name
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout+150*time.Millisecond)
		defer cancel()
		a, status := b.client.ask(ctx, id, name, timeout, r)
		s.live.post(func() {
			switch {
			case gen != b.gen || status == callNoAnswer:
				// The process was killed or there was no answer: the checker reports a lost answer if one was due.
			case status == callStaleMap:
				if s.queries[id] == q {
					q.retryStaleMap()
				}
			default:
				q.Deliver(a)
			}
		})
	}()
	return nil
}

// writeFiles writes the broker's configuration and the operator's file.
func (b *processBroker) writeFiles() (configPath, operatorPath string, err error) {
	s := b.world
	dir := s.live.opts.Dir
	configPath, operatorPath = filepath.Join(dir, b.name+".json"), filepath.Join(dir, b.name+".jsonnet")
	text, err := json.Marshal(b.settings())
	if err != nil {
		return "", "", err
	}
	flight := ""
	if s.live.opts.Flight {
		flight = fmt.Sprintf("flight: { enabled: true, nodes: true, listen: %q },\n", b.grpcAddr)
	}
	return configPath, operatorPath, errors.Join(os.WriteFile(configPath, text, 0o600), os.WriteFile(operatorPath,
		fmt.Appendf(nil, "{\n%sslices: { catalogue: %q, wait_ms: 2000, cache: %q },\n}\n", flight, s.catalogueAddr,
			filepath.Join(dir, b.name+".map")), 0o600))
}

// settings returns the content of the broker's configuration file, in the platform's format.
func (b *processBroker) settings() map[string]any {
	e := b.world.e
	var classes []any
	var minShares, completeFrom, partial []float64
	var fetchParts []int
	for _, c := range e.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "effect": c.Effect, "aim_ms": c.LatencyObjective,
			"deadline_ms": c.Deadline, "worth": c.PriorityWeight, "late_worth": c.LateFactor, "dedup_window_ms": 0})
		minShares, completeFrom, partial = append(minShares, c.MinCompleteness), append(completeFrom, 1),
			append(partial, c.PartialFactor)
		fetchParts = append(fetchParts, 0)
	}
	mode, zones := "on_request", []string{}
	if e.PushEndpoints {
		mode = "pushed"
	}
	for i := range e.Zones {
		zones = append(zones, zoneName(i))
	}
	return map[string]any{"name": b.name, "listen": b.addr, "discovery": b.discovery.addr,
		"seed":   fmt.Sprintf("%016x", b.world.seed+uint64(b.index)*7919+uint64(b.gen)),
		"limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": maxFiles},
		"known":  b.initialList,
		"settings": map[string]any{"areas": zones, "balancers": e.ConfiguredBrokerCount(),
			"me":            b.index % e.ConfiguredBrokerCount(),
			"zone":          e.ZoneOf(b.index),
			"resolution_ms": 5, "callers": map[string]any{"marks_retry": true}, "discovery": mode,
			"categories": classes, "customers": []any{},
			"domain": map[string]any{"per_call": 1, "sets": e.Backends, "slices": e.Shards, "width": e.ReplicasPerShard,
				"complete_from": completeFrom, "fetch_parts": fetchParts, "incomplete_worth": partial, "min_share": minShares},
			"invariants": map[string]any{"ask_within_ms": askWithinMs, "cold_from": e.Backend.InitialCapacity,
				"drain_grace_ms": 1000,
				"fall_ms":        e.Backend.OverloadWindow, "fall_multiple": e.Backend.OverloadMultiple,
				"grace_to_answer_ms": 20, "warm_within_ms": e.Backend.WarmUp},
			"limits": map[string]any{"cancel": true, "dial_timeout_ms": 250, "keepalive_ms": 30000, "max_open": 4000,
				"max_retry_after_ms": 1000, "multiplex": 32, "parallel_tries": e.AllowHedging, "retry_after": true,
				"try_limit": e.MaxAttempts}}}
}

func (b *processBroker) number() int { return b.index }
