package core

import (
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// Part is one shard's share of a request.
type Part struct {
	Shard       int
	Key         uint64
	Weight      float64
	CostHint    float64 // expected work in ms
	HasCostHint bool
}

// Request is a query as a front hands it in.
type Request struct {
	ID             string // the client's id for it: fresh for each
	Class          int
	Tenant         int
	Deadline       float64 // loop clock: when the client leaves
	ClientRetry    bool
	Epoch          uint64 // of the map by which the client named its parts; 0 if it does not say
	Parts          []Part
	Query          []byte // what every part must carry
	IdempotencyKey string // by which nodes drop repeats of a class of effect Keyed; the client's, "" for none
	Client         Client

	queryID       uint64
	parts         []*partState
	clientParts   []*clientPart     // where slices move: the parts as the client named them
	version       *slicemap.Version // by which it began
	nonIdempotent bool
	disconnected  bool // its client has gone, and a part that must not run twice is still out
}

// ClientDisconnected tells that its client has gone: the final answer reaches nobody.
func (r *Request) ClientDisconnected() bool { return r.disconnected }

type partState struct {
	Part
	id       uint64
	request  *Request
	attempts []*Attempt
	value    []byte
	arrived  bool

	*segmentState // nil where slices do not move
}

// inFlight tells that an attempt of a part has not ended.
func (p *partState) inFlight() bool {
	return slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended })
}

// outOfTime tells that the last attempt of a part is still waited for, or was in vain.
func (p *partState) outOfTime() bool {
	n := len(p.attempts)
	return n > 0 && (!p.attempts[n-1].ended || p.attempts[n-1].outcome == scheduler.TimedOut)
}

// withdrawParts sees to it that no part of a request begins any more: what waits at the back end is taken back,
// whether or not the settings allow to cancel what has begun.
func (c *Core) withdrawParts(r *Request) {
	for _, p := range r.parts {
		delete(c.parts, p.id)
		c.unlinkSegment(p)
		for _, a := range p.attempts {
			if !a.ended && c.backend.Withdraw(a) {
				c.AttemptEndedLater(a, scheduler.Cancelled)
			}
		}
	}
}

func (c *Core) forget(r *Request) {
	delete(c.requests, r.queryID)
	delete(c.requestIDs, r.ID)
	c.withdrawParts(r)
	if r.version != nil {
		c.shardMap.Release(r.version)
		r.version = nil // whoever still holds the request must not hold a map with it
	}
	c.openCount -= 1 + len(r.parts)
}
