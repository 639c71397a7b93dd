package core

import (
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

// Part is the share of a request that one shard answers.
type Part struct {
	Shard       int     // as the client named it
	Key         uint64  // of the data that it is about, for the choice of replicas; 0 for none
	Weight      float64 // above 0; the weights of a request add up to 1
	CostHint    float64 // expected work, in any unit that all requests share; counts if HasCostHint
	HasCostHint bool    // false: the scheduler takes the mean
}

// Request is a query as a front submits it. The front sets the exported fields and does not change them afterwards.
type Request struct {
	ID             string  // the client's; unique among open requests, as backends and logs know the parts by it
	Class          int     // index into scheduler.Settings.Classes
	Tenant         int     // index into scheduler.Settings.TenantRates; 0 where there are none
	Deadline       float64 // when the client stops waiting, in ms of the loop's clock; Submit may shorten it
	ClientRetry    bool    // the client says that it asked before
	Epoch          uint64  // of the shard map by which the client named its parts; 0 if it does not say
	Parts          []Part  // at least one, of different shards
	Query          []byte  // what every part carries
	IdempotencyKey string  // by which backends drop repeats, of a class that is idempotent with a key; "" for none
	Client         Client  // who gets the final answer

	queryID       uint64 // the scheduler's id; 0 until Submit has accepted the request
	parts         []*partState
	clientParts   []*clientPart     // under resharding: Parts with the buckets that they mean
	version       *slicemap.Version // under resharding: of the map by which it began, held until it ends
	nonIdempotent bool              // by its class
	disconnected  bool
}

// ClientDisconnected tells that the client disconnected before the final answer, which reaches nobody.
func (r *Request) ClientDisconnected() bool { return r.disconnected }

// partState is what core dispatches: a part as the client named it where placement is fixed, a segment of such a part
// under resharding.
type partState struct {
	Part
	id       uint64 // unique in this process
	request  *Request
	attempts []*Attempt // by number; under resharding also those of the part that it replaced
	value    []byte     // once it has arrived
	arrived  bool

	*segmentState // nil where placement is fixed
}

// inFlight tells that an attempt of the part has not ended.
func (p *partState) inFlight() bool {
	return slices.ContainsFunc(p.attempts, func(a *Attempt) bool { return !a.ended })
}

// outOfTime tells that the last attempt of the part timed out or is still in flight.
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
