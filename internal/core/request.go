package core

import (
	"slices"

	"ternstage/internal/decision/shardmap"
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
	Payload        []byte  // what every part carries
	IdempotencyKey string  // by which backends drop repeats, of a class that is idempotent with a key; "" for none
	Client         Client  // who gets the final answer

	queryID       uint64 // the scheduler's id; 0 until Submit has accepted the request
	parts         []*partState
	clientParts   []*clientPart     // under resharding: Parts with the buckets that they mean
	mapVersion    *shardmap.Version // under resharding: of the map by which it began, held until it ends
	nonIdempotent bool              // by its class
	disconnected  bool
}

// ClientDisconnected reports whether the client disconnected before the final answer, which reaches nobody.
func (r *Request) ClientDisconnected() bool { return r.disconnected }

// hasAttemptInFlight reports whether an attempt of the request has not ended.
func (r *Request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.parts, (*partState).hasAttemptInFlight)
}

// hasTimedOut reports whether a part of the request did not arrive for want of time.
func (r *Request) hasTimedOut() bool { return slices.ContainsFunc(r.parts, (*partState).hasTimedOut) }

// hasAllParts reports whether all parts of the request have arrived.
func (r *Request) hasAllParts() bool {
	return !slices.ContainsFunc(r.parts, func(p *partState) bool { return !p.arrived })
}

// removePart takes a part out of the request.
func (r *Request) removePart(part *partState) {
	r.parts = slices.DeleteFunc(r.parts, func(p *partState) bool { return p == part })
}
