package core

import (
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// Attempt is one dispatch of a part to a backend. The transport reads the exported fields and may set Handle,
// ConnectionOnly and BackendEpoch.
type Attempt struct {
	Request        string  // the request's ID
	Shard          int     // the shard that is asked, by its id of the placement in use
	Payload        []byte  // what the backend is asked; shared by all attempts of the request and read-only
	IdempotencyKey string  // by which the backend drops repeats; "" for none
	Backend        uint32  // replica number of the backend
	Deadline       float64 // when the wait for it ends, in ms of the loop's clock
	StartBy        float64 // until when it may begin, in ms of the loop's clock; after that it must not
	NonIdempotent  bool    // it must not run twice
	Handle         any     // the transport's own; core does not look at it
	ConnectionOnly bool    // set before the attempt's end is reported: the fault is the connection's, not the backend's

	Buckets      shardmap.Range // that are asked for; empty where placement is fixed
	Epoch        uint64         // of the shard map by which they were routed; 0 where placement is fixed
	BackendEpoch uint64         // set before the outcome NotHolder is reported: of the backend's map; 0 if unknown

	heapIndex int // in Core.deadlines; -1 if it is not there
	part      *partState
	number    int     // among the attempts of its part, from 0
	sentAt    float64 // when the scheduler decided on it
	ended     bool
	outcome   scheduler.Outcome // once it has ended
}

// attemptKey identifies an attempt to the scheduler: its part and its number among the part's attempts, from 0.
type attemptKey struct {
	part   uint64
	number int
}

// mayHaveRun reports whether the attempt is not proved never to have run.
func (a *Attempt) mayHaveRun() bool { return !a.ended || mayHaveRun(a.outcome) }

const (
	// startWindowRatio is the part of the drain grace within which an attempt begins. The scheduler sends to a draining
	// backend for half of the grace; what it decides last begins within the other half, however late its connection
	// comes up.
	startWindowRatio = 0.4

	// maxStartWindowMs bounds the same: a decision is not carried out on old information.
	maxStartWindowMs = 400.0
)

// startWindowMs is the time in ms after its decision within which an attempt begins, by the grace of drains in ms; 0 for
// no drains.
func startWindowMs(drainGraceMs float64) float64 {
	if drainGraceMs > 0 {
		return min(maxStartWindowMs, drainGraceMs*startWindowRatio)
	}
	return maxStartWindowMs
}

// mayHaveRun reports whether an attempt with this outcome is not proved never to have run.
func mayHaveRun(outcome scheduler.Outcome) bool {
	switch outcome {
	case scheduler.Rejected, scheduler.ConnectFailed, scheduler.NotSent, scheduler.NotHolder:
		return false
	}
	return true
}

// newAttempt makes the next attempt of a part, as decided now.
func (c *Core) newAttempt(now float64, part *partState, replica uint32, deadline float64) *Attempt {
	attempt := &Attempt{
		Request:        part.request.ID,
		Shard:          part.Shard,
		Payload:        part.request.Payload,
		IdempotencyKey: part.request.IdempotencyKey,
		Backend:        replica,
		Deadline:       deadline,
		StartBy:        c.latestStart(now, part),
		NonIdempotent:  part.request.nonIdempotent,

		heapIndex: -1,
		part:      part,
		number:    len(part.attempts),
		sentAt:    now,
	}
	if part.segment != nil {
		attempt.Buckets = part.segment.Range
		attempt.Epoch = c.shardMap.RoutingEpoch(part.segment.Segment)
	}
	return attempt
}

// latestStart is until when an attempt that is decided on now may begin: while its backend may still be draining, and, for
// a repeat that the backend drops only within the deduplication window of the first attempt, within that window.
func (c *Core) latestStart(now float64, part *partState) float64 {
	latest := now + c.startWindowMs
	class := &c.classes[part.request.Class]
	if class.Idempotency != scheduler.IdempotentWithKey {
		return latest
	}
	for _, earlier := range part.attempts {
		if earlier.mayHaveRun() {
			latest = min(latest, earlier.sentAt+class.DedupWindow)
		}
	}
	return latest
}
