// Package model models a backend without I/O and clock: cores that serve parts in order, a bounded queue, a slow
// start during which overload makes it fail, injected faults, and the shards that it holds by its own version of
// the shard map. The emulator uses it in virtual time and behind sockets.
package model

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Options are the properties of a backend. Times are ms.
type Options struct {
	Cores           int
	QueueLimit      int     // parts that may wait
	InitialCapacity float64 // share of the full capacity at the start of the process
	WarmUp          float64 // until the process has the full capacity
	// A backend that warms up fails if the work that arrives within OverloadWindow exceeds OverloadMultiple times
	// its capacity over that time. With an OverloadMultiple of 0 it never fails.
	OverloadMultiple float64
	OverloadWindow   float64
}

// Fault is an injected fault of a backend.
type Fault uint8

// The faults of a backend.
const (
	Healthy  Fault = iota
	Hang           // accepts parts and answers none
	Slow           // takes SlowFactor times as long
	Fail           // answers FailShare of the parts with an error, after running them
	Down           // its process is stopped
	Draining       // completes the parts that it has and rejects new ones
)

const (
	// SlowFactor is the service time of a slow backend over that of a healthy one.
	SlowFactor = 5.0
	// FailShare is the share of parts that a backend with the fault Fail answers with an error.
	FailShare = 0.8
)

// Outcome is how a part ended at a backend.
type Outcome uint8

// The outcomes of a part.
const (
	OK        Outcome = iota
	Failed            // it ran and failed, or it did not run: not held, and the sender uses no epochs
	Rejected          // it did not run
	NotHolder         // it did not run: the backend does not hold its buckets
	NoOutcome         // no answer, or none yet
)

// Job is a part at a backend.
type Job struct {
	RequestID     string
	Class         int
	NonIdempotent bool // it must not run twice
	Buckets       shardmap.Range
	Epoch         uint64  // epoch of the map that routed it; 0: the sender uses no epochs
	Work          float64 // ms of one core
	Unfenced      bool    // for tests of the checkers: any backend runs it

	Arrived, Started float64 // ms
	MapEpoch         uint64  // epoch of the backend when it accepted or started the part
	Done             bool
	Context          any // data of the caller
}

// Value returns a backend's answer for a range of buckets of a request. It names both, so that a checker can tell
// where a value belongs.
func Value(requestID string, buckets shardmap.Range) string {
	return fmt.Sprintf("%s@%v", requestID, buckets)
}

// Backend is the process of a backend, with its successors after a restart.
type Backend struct {
	ID         string
	Started    float64 // start of the process in ms; 0: it has warmed up long ago
	Fault      Fault
	Overloaded bool // it has failed under overload

	options    Options
	rand       *rand.Rand
	shardMap   *shardmap.Version // nil if it has none
	queue      []*Job
	running    []*Job
	recentLoad []load  // parts that arrived within OverloadWindow
	recentWork float64 // sum of their work
	PartsRun   uint64
}

// load is the work of a part and the time of its arrival in ms.
type load struct{ at, work float64 }

// New returns a backend with a version of the shard map.
func New(id string, o Options, version *shardmap.Version, seed uint64) *Backend {
	return &Backend{ID: id, options: o, shardMap: version, rand: rand.New(rand.NewPCG(seed, 0))}
}

// UpdateMap gives the backend a version of the shard map. It ignores one that is not newer than its own.
func (b *Backend) UpdateMap(v *shardmap.Version) {
	if b.shardMap == nil || v.Epoch > b.shardMap.Epoch {
		b.shardMap = v
	}
}

// Epoch returns the epoch of the backend's shard map, 0 if it has none.
func (b *Backend) Epoch() uint64 {
	if b.shardMap == nil {
		return 0
	}
	return b.shardMap.Epoch
}

// holds reports whether the backend may run parts of these buckets according to its shard map.
func (b *Backend) holds(buckets shardmap.Range) bool {
	for at := buckets.Start; at < buckets.End; {
		s := b.shardMap.ShardAt(at)
		if s == nil || !s.Executes(b.ID) {
			return false
		}
		at = s.End
	}
	return true
}

// Capacity returns the work per ms that the backend can do now. Once it has warmed up, that is its number of cores.
func (b *Backend) Capacity(now float64) float64 {
	share := 1.0
	if b.Started > 0 && b.options.WarmUp > 0 {
		share = min(1, b.options.InitialCapacity+(1-b.options.InitialCapacity)*(now-b.Started)/b.options.WarmUp)
	}
	return share * float64(b.options.Cores)
}

// IsWarmingUp reports whether the backend has not reached its full capacity yet.
func (b *Backend) IsWarmingUp(now float64) bool {
	return b.Started > 0 && now < b.Started+b.options.WarmUp
}

// QueueLength returns the number of parts that wait.
func (b *Backend) QueueLength() int { return len(b.queue) }

// PartCount returns the number of parts that wait or run.
func (b *Backend) PartCount() int { return len(b.queue) + len(b.running) }

// Arrive handles a part that has reached the backend. It returns the outcome of a part that does not run.
// Otherwise it returns NoOutcome, with the time at which the part is done, or 0 if it waits. A stopped or overloaded
// backend returns NoOutcome and 0.
func (b *Backend) Arrive(now float64, j *Job) (outcome Outcome, done float64) {
	j.Arrived = now
	b.trackLoad(now, j.Work)
	switch {
	case b.Overloaded || b.Fault == Down:
		return NoOutcome, 0
	case b.Fault == Draining:
		return Rejected, 0
	case j.Unfenced:
	case j.Epoch > 0 && (b.shardMap == nil || j.Epoch > b.shardMap.Epoch || !b.holds(j.Buckets)):
		// It does not hold the buckets yet, or no longer. If the part was routed by an epoch that it does not
		// know, another backend may hold the buckets at that epoch.
		return NotHolder, 0
	case j.Epoch == 0 && b.shardMap != nil && !b.holds(j.Buckets):
		return Failed, 0 // for a sender without epochs this is an error like any other
	}
	if len(b.queue) >= b.options.QueueLimit {
		return Rejected, 0
	}
	j.MapEpoch = b.Epoch()
	if len(b.running) < b.options.Cores {
		return NoOutcome, b.startPart(now, j)
	}
	b.queue = append(b.queue, j)
	return NoOutcome, 0
}

// trackLoad adds the work of a part to the recent load, also if the backend rejects it, and sets Overloaded if a
// backend that warms up gets too much.
func (b *Backend) trackLoad(now, work float64) {
	if b.options.OverloadMultiple <= 0 {
		return
	}
	b.recentLoad, b.recentWork = append(b.recentLoad, load{now, work}), b.recentWork+work
	for b.recentLoad[0].at < now-b.options.OverloadWindow {
		b.recentWork -= b.recentLoad[0].work
		b.recentLoad = b.recentLoad[1:]
	}
	if b.IsWarmingUp(now) && b.recentWork > b.options.OverloadMultiple*b.Capacity(now)*b.options.OverloadWindow {
		b.Overloaded = true
	}
}

// startPart starts a part. It returns the time at which the part is done.
func (b *Backend) startPart(now float64, j *Job) (done float64) {
	j.Started = now
	b.running = append(b.running, j)
	b.PartsRun++
	serviceMs := j.Work * float64(b.options.Cores) / b.Capacity(now)
	if b.Fault == Slow {
		serviceMs *= SlowFactor
	}
	return now + serviceMs
}

// Finish ends a part that is due. It starts the next queued part and returns that part with the time at which it is
// done. moved are the parts that were queued before next and do not run, because their buckets have been handed over
// since they arrived.
func (b *Backend) Finish(now float64, j *Job) (outcome Outcome, moved []*Job, next *Job, done float64) {
	if j.Done || b.Fault == Down || b.Overloaded {
		return NoOutcome, nil, nil, 0
	}
	j.Done = true
	b.running = slices.DeleteFunc(b.running, func(x *Job) bool { return x == j })
	switch {
	case b.Fault == Hang:
		outcome = NoOutcome
	case b.Fault == Fail && b.rand.Float64() < FailShare:
		outcome = Failed
	}
	for len(b.queue) > 0 && next == nil {
		first := b.queue[0]
		b.queue = b.queue[1:]
		if first.Epoch > 0 && !first.Unfenced && !b.holds(first.Buckets) {
			moved = append(moved, first)
			continue
		}
		next, done = first, b.startPart(now, first)
		first.MapEpoch = b.Epoch()
	}
	return outcome, moved, next, done
}

// Kill stops the process. It returns the parts that are lost with it, the running ones first, each in the order of
// arrival.
func (b *Backend) Kill() []*Job {
	all := append(slices.Clone(b.running), b.queue...)
	b.running, b.queue, b.Fault = nil, nil, Down
	return all
}

// Drop removes a cancelled part that has not started from the queue.
func (b *Backend) Drop(j *Job) {
	b.queue = slices.DeleteFunc(b.queue, func(x *Job) bool { return x == j })
}

// Restart starts a new process, which has to warm up.
func (b *Backend) Restart(now float64, version *shardmap.Version) {
	b.Started, b.Fault, b.Overloaded, b.shardMap, b.recentLoad, b.recentWork = now, Healthy, false, version, nil, 0
}
