package core

import (
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Part is the share of a request that one shard answers.
type Part struct {
	Shard       int     // as the client named it
	Key         uint64  // key of the data that the part is about, for the choice of replicas; 0 for none
	Weight      float64 // above 0; the weights of a request add up to 1
	CostHint    float64 // expected work, in any unit that all requests share; used only if HasCostHint
	HasCostHint bool    // if false, the scheduler assumes the mean cost
}

// Request is one client's request, as a front submits it. The front sets the exported fields before Submit and does
// not change them afterwards.
type Request struct {
	ID             string  // the client's id; unique among open requests, as it names the parts to backends and in logs
	Class          int     // index into scheduler.Settings.Classes
	Tenant         int     // index into scheduler.Settings.TenantRates; 0 where there are none
	Deadline       float64 // when the client stops waiting, in ms of the loop's clock; Submit may shorten it
	ClientRetry    bool    // the client marked the request as a client retry
	Epoch          uint64  // epoch of the shard map by which the client named its parts; 0 if it does not say
	Parts          []Part  // at least one, each of a different shard
	Payload        []byte  // the query text, sent with every part
	IdempotencyKey string  // lets backends drop repeats, for a class that is idempotent with a key; "" for none
	Client         Client  // receives the final answer

	queryID       uint64 // the scheduler's id; 0 until Submit has accepted the request
	parts         []*partState
	clientParts   []*clientPart     // under resharding: Parts with their buckets
	mapVersion    *shardmap.Version // under resharding: map version in use at its start, retained until its end
	nonIdempotent bool              // taken from its class
	disconnected  bool
}

// ClientDisconnected reports whether the client disconnected before the final answer. If so, no client receives it.
func (r *Request) ClientDisconnected() bool { return r.disconnected }

// hasAttemptInFlight reports whether any attempt of the request has not ended.
func (r *Request) hasAttemptInFlight() bool {
	return slices.ContainsFunc(r.parts, (*partState).hasAttemptInFlight)
}

// hasTimedOut reports whether any part of the request ran out of time.
func (r *Request) hasTimedOut() bool { return slices.ContainsFunc(r.parts, (*partState).hasTimedOut) }

// hasAllParts reports whether all parts of the request have arrived.
func (r *Request) hasAllParts() bool {
	return !slices.ContainsFunc(r.parts, func(p *partState) bool { return !p.arrived })
}

// removePart removes a part from the request.
func (r *Request) removePart(part *partState) {
	r.parts = slices.DeleteFunc(r.parts, func(p *partState) bool { return p == part })
}
