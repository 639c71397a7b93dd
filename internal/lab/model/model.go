// Package model is a rate node without I/O and clock: cores that serve parts in turn, a waiting room, a cold
// start that may end in falling over, troubles, and the slices that it holds by its own epoch. Both drivers
// of the lab play it, one in virtual time and one behind sockets.
package model

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Options are a node's figures. Times are ms.
type Options struct {
	Cores            int
	QueueLimit       int     // parts that may wait
	InitialCapacity  float64 // share of its capacity with which it starts
	WarmUp           float64 // until it has all of it
	OverloadMultiple float64 // sent more than so many times what it can do then,
	OverloadWindow   float64 // for so long, it falls over
}

// Trouble is what is wrong with a node.
type Fault uint8

// The troubles of a node.
const (
	Healthy  Fault = iota
	Hang           // takes parts and answers none
	Slow           // takes SlowBy times as long
	Fail           // answers most parts with an error, after having run them
	Down           // its process is gone
	Draining       // completes what it has and turns away the rest
)

// SlowBy is how many times longer a slow node takes, FailShare how often a failing one fails.
const (
	SlowFactor = 5.0
	FailShare  = 0.8
)

// End is how a part ended at the node.
type Outcome uint8

// The ends of a part at a node.
const (
	OK        Outcome = iota
	Failed            // it ran, and failed
	Rejected          // turned away, never ran
	NotHolder         // the node does not hold its districts; never ran
	NoOutcome         // no answer at all
)

// Job is a part at a node.
type Job struct {
	RequestID     string
	Class         int
	NonIdempotent bool // it must not run twice
	Buckets       shardmap.Range
	Epoch         uint64 // by which it was routed; 0: the sender knows of no epochs, and nothing is fenced
	Work          float64
	Unfenced      bool // for tests of the checkers: it is executed by whoever gets it

	Arrived, Started float64
	MapEpoch         uint64 // the node's epoch when it took it
	Done             bool
	Context          any // the driver's own
}

// Value is what a node answers for districts of a query: a checker can tell whose it is, and of what.
func Value(query string, r shardmap.Range) string { return fmt.Sprintf("%s@%v", query, r) }

// Node is one process of a rate node.
type Backend struct {
	ID         string
	Started    float64 // 0: long ago
	Fault      Fault
	Overloaded bool

	options    Options
	rand       *rand.Rand
	shardMap   *shardmap.Version
	queue      []*Job
	running    []*Job
	recentLoad []load // in the window of falling over
	recentWork float64
	PartsRun   uint64
}

type load struct{ at, work float64 }

// New makes a node that knows the map in this version.
func New(id string, o Options, view *shardmap.Version, seed uint64) *Backend {
	return &Backend{ID: id, options: o, shardMap: view, rand: rand.New(rand.NewPCG(seed, 0))}
}

// Learn gives the node news of the map. What is older than what it knows says nothing.
func (n *Backend) UpdateMap(v *shardmap.Version) {
	if n.shardMap == nil || v.Epoch > n.shardMap.Epoch {
		n.shardMap = v
	}
}

// Epoch is that of the map it knows; 0 if it knows none.
func (n *Backend) Epoch() uint64 {
	if n.shardMap == nil {
		return 0
	}
	return n.shardMap.Epoch
}

// holds tells whether it may execute districts by the map it knows.
func (n *Backend) holds(r shardmap.Range) bool {
	for at := r.Start; at < r.End; {
		s := n.shardMap.ShardAt(at)
		if s == nil || !s.Executes(n.ID) {
			return false
		}
		at = s.End
	}
	return true
}

// Capacity is the work in a ms that it can do now.
func (n *Backend) Capacity(now float64) float64 {
	share := 1.0
	if n.Started > 0 && n.options.WarmUp > 0 {
		share = min(1, n.options.InitialCapacity+(1-n.options.InitialCapacity)*(now-n.Started)/n.options.WarmUp)
	}
	return share * float64(n.options.Cores)
}

// Cold tells that it is not warm yet.
func (n *Backend) IsWarmingUp(now float64) bool {
	return n.Started > 0 && now < n.Started+n.options.WarmUp
}

// Waiting is how many parts wait.
func (n *Backend) QueueLength() int { return len(n.queue) }

// Out is how many parts it has.
func (n *Backend) PartCount() int { return len(n.queue) + len(n.running) }

// Arrive takes a part. end tells at once what becomes of it, or None if it will begin or wait; then done is
// when it ends, 0 while it waits.
func (n *Backend) Arrive(now float64, j *Job) (end Outcome, done float64) {
	j.Arrived = now
	n.trackLoad(now, j.Work)
	switch {
	case n.Overloaded || n.Fault == Down:
		return NoOutcome, 0
	case n.Fault == Draining:
		return Rejected, 0
	case j.Unfenced:
	case j.Epoch > 0 && (n.shardMap == nil || j.Epoch > n.shardMap.Epoch || !n.holds(j.Buckets)):
		// Not yet, or no longer. A part routed by an epoch that it does not know may be another's by that epoch.
		return NotHolder, 0
	case j.Epoch == 0 && n.shardMap != nil && !n.holds(j.Buckets):
		return Failed, 0 // to who knows of no epochs it is an error like others
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

// press counts the work that reached it and tells whether it falls over: all counts, also what it turns away.
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

func (n *Backend) startPart(now float64, j *Job) (done float64) {
	j.Started = now
	n.running = append(n.running, j)
	n.PartsRun++
	took := j.Work * float64(n.options.Cores) / n.Capacity(now)
	if n.Fault == Slow {
		took *= SlowFactor
	}
	return now + took
}

// Finish ends a part whose time has come. Of those that wait the next one begins and ends at done; moved are
// those whose districts have been handed over while they waited: they never ran.
func (n *Backend) Finish(now float64, j *Job) (end Outcome, moved []*Job, next *Job, done float64) {
	if j.Done || n.Fault == Down || n.Overloaded {
		return NoOutcome, nil, nil, 0
	}
	j.Done = true
	n.running = slices.DeleteFunc(n.running, func(x *Job) bool { return x == j })
	switch {
	case n.Fault == Hang:
		end = NoOutcome
	case n.Fault == Fail && n.rand.Float64() < FailShare:
		end = Failed
	}
	for len(n.queue) > 0 && next == nil {
		x := n.queue[0]
		n.queue = n.queue[1:]
		if x.Epoch > 0 && !x.Unfenced && !n.holds(x.Buckets) {
			moved = append(moved, x)
			continue
		}
		next, done = x, n.startPart(now, x)
		x.MapEpoch = n.Epoch()
	}
	return end, moved, next, done
}

// Kill ends the process: what it has is gone. It gives that, in the order in which it came.
func (n *Backend) Kill() []*Job {
	all := append(slices.Clone(n.running), n.queue...)
	n.running, n.queue, n.Fault = nil, nil, Down
	return all
}

// Drop takes a part off that has not begun and that nobody waits for any more.
func (n *Backend) Drop(j *Job) {
	n.queue = slices.DeleteFunc(n.queue, func(x *Job) bool { return x == j })
}

// Restart starts the process anew, cold.
func (n *Backend) Restart(now float64, view *shardmap.Version) {
	n.Started, n.Fault, n.Overloaded, n.shardMap, n.recentLoad, n.recentWork = now, Healthy, false, view, nil, 0
}
