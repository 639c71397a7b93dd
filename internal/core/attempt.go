package core

import (
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// Attempt is one dispatch of a part to a backend. The transport reads the exported fields and may set Handle,
// ConnectionOnly and BackendEpoch.
type Attempt struct {
	Request        string  // id of the request
	Shard          int     // id of the shard in the placement in use
	Payload        []byte  // the query text; shared by all attempts of the request and read-only
	IdempotencyKey string  // lets the backend drop repeats; "" for none
	Backend        uint32  // replica number of the backend
	Deadline       float64 // when core stops waiting for the attempt, in ms of the loop's clock
	StartBy        float64 // latest time at which the attempt may begin, in ms of the loop's clock
	NonIdempotent  bool    // the part must not run twice
	Handle         any     // reserved for the transport; core does not use it
	ConnectionOnly bool    // set before the end is reported if the connection is at fault, not the backend

	Buckets      shardmap.Range // requested buckets; empty where placement is fixed
	Epoch        uint64         // epoch of the shard map by which Buckets were routed; 0 where placement is fixed
	BackendEpoch uint64         // epoch of the backend's map, set before NotHolder is reported; 0 if unknown

	heapIndex int // index in Core.deadlines; -1 if not in it
	part      *partState
	number    int     // among the attempts of its part, from 0
	sentAt    float64 // when the scheduler decided on the attempt
	ended     bool
	outcome   scheduler.Outcome // valid once ended is set
}

// attemptKey identifies an attempt to the scheduler: its part and its number among the part's attempts, from 0.
type attemptKey struct {
	part   uint64
	number int
}

// mayHaveRun reports whether the attempt may have run. It is false only if the outcome proves that it never ran.
func (a *Attempt) mayHaveRun() bool { return !a.ended || mayHaveRun(a.outcome) }

const (
	// startWindowRatio is the fraction of the drain grace within which an attempt must begin. The scheduler sends to
	// a draining backend during the first half of the grace. The last of these attempts must begin within the other
	// half, however late their connection is established.
	startWindowRatio = 0.4

	// maxStartWindowMs limits the start window, so that no attempt begins on outdated information.
	maxStartWindowMs = 400.0
)

// startWindowMs returns the time in ms from the decision on an attempt until it must begin. A drain grace of 0 means
// that backends do not drain.
func startWindowMs(drainGraceMs float64) float64 {
	if drainGraceMs > 0 {
		return min(maxStartWindowMs, drainGraceMs*startWindowRatio)
	}
	return maxStartWindowMs
}

// mayHaveRun reports whether an attempt with this outcome may have run. It is false for the outcomes that prove that
// the attempt never ran.
func mayHaveRun(outcome scheduler.Outcome) bool {
	switch outcome {
	case scheduler.Rejected, scheduler.ConnectFailed, scheduler.NotSent, scheduler.NotHolder:
		return false
	}
	return true
}

// newAttempt makes the next attempt of a part. The scheduler decided on it at time now.
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

// latestStart returns the latest time at which an attempt that is decided on now may begin. The attempt must begin
// within the start window, as its backend may be draining. A retry of a part that may have run must also begin within
// the deduplication window, which starts with the first attempt: the backend drops repeats only within that window.
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
