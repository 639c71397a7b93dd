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
	Cores        int
	Room         int     // parts that may wait
	ColdFrom     float64 // share of its capacity with which it starts
	Warm         float64 // until it has all of it
	FallMultiple float64 // sent more than so many times what it can do then,
	FallFor      float64 // for so long, it falls over
}

// Trouble is what is wrong with a node.
type Trouble uint8

// The troubles of a node.
const (
	Sound Trouble = iota
	Hang          // takes parts and answers none
	Slow          // takes SlowBy times as long
	Fail          // answers most parts with an error, after having run them
	Down          // its process is gone
	Drain         // completes what it has and turns away the rest
)

// SlowBy is how many times longer a slow node takes, FailShare how often a failing one fails.
const (
	SlowBy    = 5.0
	FailShare = 0.8
)

// End is how a part ended at the node.
type End uint8

// The ends of a part at a node.
const (
	OK    End = iota
	Err       // it ran, and failed
	Busy      // turned away, never ran
	Moved     // the node does not hold its districts; never ran
	None      // no answer at all
)

// Job is a part at a node.
type Job struct {
	Query     string
	Class     int
	Once      bool // it must not run twice
	Districts shardmap.Range
	Epoch     uint64 // by which it was routed; 0: the sender knows of no epochs, and nothing is fenced
	Work      float64
	Unfenced  bool // for tests of the checkers: it is executed by whoever gets it

	Arrived, Began float64
	View           uint64 // the node's epoch when it took it
	Done           bool
	Context        any // the driver's own
}

// Value is what a node answers for districts of a query: a checker can tell whose it is, and of what.
func Value(query string, r shardmap.Range) string { return fmt.Sprintf("%s@%v", query, r) }

// Node is one process of a rate node.
type Node struct {
	ID      string
	Started float64 // 0: long ago
	Trouble Trouble
	Fallen  bool

	o       Options
	rnd     *rand.Rand
	view    *shardmap.Version
	queue   []*Job
	running []*Job
	sent    []load // in the window of falling over
	sum     float64
	Ran     uint64
}

type load struct{ at, work float64 }

// New makes a node that knows the map in this version.
func New(id string, o Options, view *shardmap.Version, seed uint64) *Node {
	return &Node{ID: id, o: o, view: view, rnd: rand.New(rand.NewPCG(seed, 0))}
}

// Learn gives the node news of the map. What is older than what it knows says nothing.
func (n *Node) Learn(v *shardmap.Version) {
	if n.view == nil || v.Epoch > n.view.Epoch {
		n.view = v
	}
}

// Epoch is that of the map it knows; 0 if it knows none.
func (n *Node) Epoch() uint64 {
	if n.view == nil {
		return 0
	}
	return n.view.Epoch
}

// holds tells whether it may execute districts by the map it knows.
func (n *Node) holds(r shardmap.Range) bool {
	for at := r.Start; at < r.End; {
		s := n.view.ShardAt(at)
		if s == nil || !s.Executes(n.ID) {
			return false
		}
		at = s.End
	}
	return true
}

// Capacity is the work in a ms that it can do now.
func (n *Node) Capacity(now float64) float64 {
	share := 1.0
	if n.Started > 0 && n.o.Warm > 0 {
		share = min(1, n.o.ColdFrom+(1-n.o.ColdFrom)*(now-n.Started)/n.o.Warm)
	}
	return share * float64(n.o.Cores)
}

// Cold tells that it is not warm yet.
func (n *Node) Cold(now float64) bool { return n.Started > 0 && now < n.Started+n.o.Warm }

// Waiting is how many parts wait.
func (n *Node) Waiting() int { return len(n.queue) }

// Out is how many parts it has.
func (n *Node) Out() int { return len(n.queue) + len(n.running) }

// Arrive takes a part. end tells at once what becomes of it, or None if it will begin or wait; then done is
// when it ends, 0 while it waits.
func (n *Node) Arrive(now float64, j *Job) (end End, done float64) {
	j.Arrived = now
	n.press(now, j.Work)
	switch {
	case n.Fallen || n.Trouble == Down:
		return None, 0
	case n.Trouble == Drain:
		return Busy, 0
	case j.Unfenced:
	case j.Epoch > 0 && (n.view == nil || j.Epoch > n.view.Epoch || !n.holds(j.Districts)):
		// Not yet, or no longer. A part routed by an epoch that it does not know may be another's by that epoch.
		return Moved, 0
	case j.Epoch == 0 && n.view != nil && !n.holds(j.Districts):
		return Err, 0 // to who knows of no epochs it is an error like others
	}
	if len(n.queue) >= n.o.Room {
		return Busy, 0
	}
	j.View = n.Epoch()
	if len(n.running) < n.o.Cores {
		return None, n.begin(now, j)
	}
	n.queue = append(n.queue, j)
	return None, 0
}

// press counts the work that reached it and tells whether it falls over: all counts, also what it turns away.
func (n *Node) press(now, work float64) {
	if n.o.FallMultiple <= 0 {
		return
	}
	n.sent, n.sum = append(n.sent, load{now, work}), n.sum+work
	for n.sent[0].at < now-n.o.FallFor {
		n.sum -= n.sent[0].work
		n.sent = n.sent[1:]
	}
	if n.Cold(now) && n.sum > n.o.FallMultiple*n.Capacity(now)*n.o.FallFor {
		n.Fallen = true
	}
}

func (n *Node) begin(now float64, j *Job) (done float64) {
	j.Began = now
	n.running = append(n.running, j)
	n.Ran++
	took := j.Work * float64(n.o.Cores) / n.Capacity(now)
	if n.Trouble == Slow {
		took *= SlowBy
	}
	return now + took
}

// Finish ends a part whose time has come. Of those that wait the next one begins and ends at done; moved are
// those whose districts have been handed over while they waited: they never ran.
func (n *Node) Finish(now float64, j *Job) (end End, moved []*Job, next *Job, done float64) {
	if j.Done || n.Trouble == Down || n.Fallen {
		return None, nil, nil, 0
	}
	j.Done = true
	n.running = slices.DeleteFunc(n.running, func(x *Job) bool { return x == j })
	switch {
	case n.Trouble == Hang:
		end = None
	case n.Trouble == Fail && n.rnd.Float64() < FailShare:
		end = Err
	}
	for len(n.queue) > 0 && next == nil {
		x := n.queue[0]
		n.queue = n.queue[1:]
		if x.Epoch > 0 && !x.Unfenced && !n.holds(x.Districts) {
			moved = append(moved, x)
			continue
		}
		next, done = x, n.begin(now, x)
		x.View = n.Epoch()
	}
	return end, moved, next, done
}

// Kill ends the process: what it has is gone. It gives that, in the order in which it came.
func (n *Node) Kill() []*Job {
	all := append(slices.Clone(n.running), n.queue...)
	n.running, n.queue, n.Trouble = nil, nil, Down
	return all
}

// Drop takes a part off that has not begun and that nobody waits for any more.
func (n *Node) Drop(j *Job) {
	n.queue = slices.DeleteFunc(n.queue, func(x *Job) bool { return x == j })
}

// Restart starts the process anew, cold.
func (n *Node) Restart(now float64, view *shardmap.Version) {
	n.Started, n.Trouble, n.Fallen, n.view, n.sent, n.sum = now, Sound, false, view, nil, 0
}
