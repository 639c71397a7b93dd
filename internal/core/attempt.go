package core

import (
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// Attempt is one try of a part at a node.
type Attempt struct {
	Request        string
	Shard          int
	Query          []byte
	IdempotencyKey string
	Backend        uint32
	Deadline       float64 // loop clock: when the wait for it ends
	StartBy        float64 // loop clock: it begins by then or not at all, as the decision to send it is of now
	NonIdempotent  bool    // it must not run twice: what may have run of it is not tried again
	Handle         any     // the back end's own
	ConnectionOnly bool    // set by the back end with how it ended: only its connection broke, the node stands

	// Where slices move: the districts asked for and the epoch by which they were routed, above 0. The back end
	// sets NodeEpoch with the outcome Moved.
	Buckets             slicemap.Range
	Epoch, BackendEpoch uint64

	heapIndex int // in the heap of deadlines; -1 if it is not there
	part      *partState
	number    int
	sentAt    float64
	ended     bool
	outcome   scheduler.Outcome // once it has ended
}

const (
	// The module sends to a node that drains for half of the grace: what it has decided begins well within the
	// other half, however late its connection comes up.
	startWindowRatio = 0.4
	maxStartWindowMs = 400.0 // ms
)

// attemptKey identifies an attempt to the scheduler: its part and its number among the part's attempts, from 0.
type attemptKey struct {
	part   uint64
	number int
}
