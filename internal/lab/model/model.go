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
	Cores            int
	QueueLimit       int     // parts that may wait
	InitialCapacity  float64 // share of the full capacity at the start of the process
	WarmUp           float64 // until the process has the full capacity
	OverloadMultiple float64 // while it warms up, more work than so many times its capacity
	OverloadWindow   float64 // within this time makes it fail; no limit if OverloadMultiple is 0
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
	Failed            // it ran and failed, or a sender without epochs got an error; see Backend.Arrive
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
func (n *Backend) UpdateMap(v *shardmap.Version) {
	if n.shardMap == nil || v.Epoch > n.shardMap.Epoch {
		n.shardMap = v
	}
}

// Epoch returns the epoch of its shard map, 0 if it has none.
func (n *Backend) Epoch() uint64 {
	if n.shardMap == nil {
		return 0
	}
	return n.shardMap.Epoch
}

// holds reports whether it may run parts of these buckets according to its shard map.
func (n *Backend) holds(buckets shardmap.Range) bool {
	for at := buckets.Start; at < buckets.End; {
		s := n.shardMap.ShardAt(at)
		if s == nil || !s.Executes(n.ID) {
			return false
		}
		at = s.End
	}
	return true
}

// Capacity returns the work per ms that it can do now, which is the number of cores once it has warmed up.
func (n *Backend) Capacity(now float64) float64 {
	share := 1.0
	if n.Started > 0 && n.options.WarmUp > 0 {
		share = min(1, n.options.InitialCapacity+(1-n.options.InitialCapacity)*(now-n.Started)/n.options.WarmUp)
	}
	return share * float64(n.options.Cores)
}

// IsWarmingUp reports whether it has not reached its full capacity yet.
func (n *Backend) IsWarmingUp(now float64) bool {
	return n.Started > 0 && now < n.Started+n.options.WarmUp
}

// QueueLength returns the number of parts that wait.
func (n *Backend) QueueLength() int { return len(n.queue) }

// PartCount returns the number of parts that wait or run.
func (n *Backend) PartCount() int { return len(n.queue) + len(n.running) }

// Arrive handles a part that has reached the backend. It returns the outcome of a part that does not run.
// Otherwise it returns NoOutcome, with the time at which the part is done, or 0 if it waits. A stopped or overloaded
// backend returns NoOutcome and 0.
func (n *Backend) Arrive(now float64, j *Job) (outcome Outcome, done float64) {
	j.Arrived = now
	n.trackLoad(now, j.Work)
	switch {
	case n.Overloaded || n.Fault == Down:
		return NoOutcome, 0
	case n.Fault == Draining:
		return Rejected, 0
	case j.Unfenced:
	case j.Epoch > 0 && (n.shardMap == nil || j.Epoch > n.shardMap.Epoch || !n.holds(j.Buckets)):
		// It does not hold the buckets yet, or no longer. If the part was routed by an epoch that it does not
		// know, another backend may hold the buckets at that epoch.
		return NotHolder, 0
	case j.Epoch == 0 && n.shardMap != nil && !n.holds(j.Buckets):
		return Failed, 0 // for a sender without epochs this is an error like any other
	}
	if len(n.queue) >= n.options.QueueLimit {
		return Rejected, 0
	}
	j.MapEpoch = n.Epoch()
	if len(n.running) < n.options.Cores {
		return NoOutcome, n.startPart(now, j)
	}
	n.queue = append(n.queue, j)
	return NoOutcome, 0
}

// trackLoad adds the work of a part to the recent load, also if the backend rejects it, and sets Overloaded if a
// backend that warms up gets too much.
func (n *Backend) trackLoad(now, work float64) {
	if n.options.OverloadMultiple <= 0 {
		return
	}
	n.recentLoad, n.recentWork = append(n.recentLoad, load{now, work}), n.recentWork+work
	for n.recentLoad[0].at < now-n.options.OverloadWindow {
		n.recentWork -= n.recentLoad[0].work
		n.recentLoad = n.recentLoad[1:]
	}
	if n.IsWarmingUp(now) && n.recentWork > n.options.OverloadMultiple*n.Capacity(now)*n.options.OverloadWindow {
		n.Overloaded = true
	}
}

// startPart starts a part. It returns the time at which the part is done.
func (n *Backend) startPart(now float64, j *Job) (done float64) {
	j.Started = now
	n.running = append(n.running, j)
	n.PartsRun++
	serviceMs := j.Work * float64(n.options.Cores) / n.Capacity(now)
	if n.Fault == Slow {
		serviceMs *= SlowFactor
	}
	return now + serviceMs
}

// Finish ends a part that is due and starts the next one that waits, which is done at the returned time. moved are
// the parts before it in the queue whose buckets have been handed over since they arrived; they do not run.
func (n *Backend) Finish(now float64, j *Job) (outcome Outcome, moved []*Job, next *Job, done float64) {
	if j.Done || n.Fault == Down || n.Overloaded {
		return NoOutcome, nil, nil, 0
	}
	j.Done = true
	n.running = slices.DeleteFunc(n.running, func(x *Job) bool { return x == j })
	switch {
	case n.Fault == Hang:
		outcome = NoOutcome
	case n.Fault == Fail && n.rand.Float64() < FailShare:
		outcome = Failed
	}
	for len(n.queue) > 0 && next == nil {
		first := n.queue[0]
		n.queue = n.queue[1:]
		if first.Epoch > 0 && !first.Unfenced && !n.holds(first.Buckets) {
			moved = append(moved, first)
			continue
		}
		next, done = first, n.startPart(now, first)
		first.MapEpoch = n.Epoch()
	}
	return outcome, moved, next, done
}

// Kill stops the process. It returns the parts that are lost with it, the running ones first, each in the order of
// arrival.
func (n *Backend) Kill() []*Job {
	all := append(slices.Clone(n.running), n.queue...)
	n.running, n.queue, n.Fault = nil, nil, Down
	return all
}

// Drop removes a cancelled part that has not started from the queue.
func (n *Backend) Drop(j *Job) {
	n.queue = slices.DeleteFunc(n.queue, func(x *Job) bool { return x == j })
}

// Restart starts a new process, which has to warm up.
func (n *Backend) Restart(now float64, version *shardmap.Version) {
	n.Started, n.Fault, n.Overloaded, n.shardMap, n.recentLoad, n.recentWork = now, Healthy, false, version, nil, 0
}
