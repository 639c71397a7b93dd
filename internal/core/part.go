package core

import (
	"slices"

	"ternstage/internal/decision/scheduler"
)

// partState is the unit that core dispatches: where placement is fixed, a part as the client named it; under
// resharding, one segment of such a part.
type partState struct {
	Part            // its Shard is the shard's id in the placement in use
	id       uint64 // unique in this process
	request  *Request
	attempts []*Attempt // by number; under resharding, starts with the attempts of the part that it replaced
	value    []byte     // the backend's value, once arrived is set
	arrived  bool

	segment *segmentState // nil where placement is fixed
}

// schedulerPart returns the part in the scheduler's form.
func (p *partState) schedulerPart() scheduler.Part {
	out := scheduler.Part{
		ID:          p.id,
		QueryGroup:  int(p.request.queryID),
		Shard:       p.Shard,
		Key:         p.Key,
		Weight:      p.Weight,
		CostHint:    p.CostHint,
		HasCostHint: p.HasCostHint,
	}
	if p.segment != nil {
		out.AtomicGroup = p.segment.clientPart.number
	}
	return out
}

// hasAttemptInFlight reports whether any attempt of the part has not ended.
func (p *partState) hasAttemptInFlight() bool {
	return slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended })
}

// isLastAttemptInFlight reports whether the last attempt of the part has not ended.
func (p *partState) isLastAttemptInFlight() bool {
	count := len(p.attempts)
	return count > 0 && !p.attempts[count-1].ended
}

// hasTimedOut reports whether the part ran out of time: its last attempt timed out, or is still in flight as the
// request ends.
func (p *partState) hasTimedOut() bool {
	count := len(p.attempts)
	return count > 0 && (!p.attempts[count-1].ended || p.attempts[count-1].outcome == scheduler.TimedOut)
}

// mayHaveRun reports whether any attempt of the part may have run.
func (p *partState) mayHaveRun() bool { return slices.ContainsFunc(p.attempts, (*Attempt).mayHaveRun) }
