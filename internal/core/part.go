package core

import (
	"slices"

	"ternstage/internal/decision/scheduler"
)

// partState is what core dispatches: a part as the client named it where placement is fixed, a segment of such a part
// under resharding.
type partState struct {
	Part            // Shard is by the placement in use
	id       uint64 // unique in this process
	request  *Request
	attempts []*Attempt // by number; under resharding also those of the part that it replaced
	value    []byte     // once it has arrived
	arrived  bool

	segment *segmentState // nil where placement is fixed
}

// schedulerPart is the part as the scheduler knows it.
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

// hasAttemptInFlight reports whether an attempt of the part has not ended.
func (p *partState) hasAttemptInFlight() bool {
	return slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended })
}

// isLastAttemptInFlight reports whether the last attempt of the part has not ended.
func (p *partState) isLastAttemptInFlight() bool {
	count := len(p.attempts)
	return count > 0 && !p.attempts[count-1].ended
}

// hasTimedOut reports whether the last attempt of the part timed out or is still in flight.
func (p *partState) hasTimedOut() bool {
	count := len(p.attempts)
	return count > 0 && (!p.attempts[count-1].ended || p.attempts[count-1].outcome == scheduler.TimedOut)
}

// mayHaveRun reports whether an attempt of the part is not proved never to have run.
func (p *partState) mayHaveRun() bool { return slices.ContainsFunc(p.attempts, (*Attempt).mayHaveRun) }
