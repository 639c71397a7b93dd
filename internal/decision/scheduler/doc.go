// Package scheduler takes every routing decision of a broker: which queries are admitted, which replica gets each
// part and when, what is retried or hedged, and when a query is answered, rejected or failed.
//
// It is a state machine. It does no I/O, reads no clock and starts no goroutine: events go in, actions come out.
// The caller reports events with QueryArrived, PartArrived, AttemptEnded, ClientDisconnected, EndpointsChanged,
// EndpointsOverridden, PlacementChanged and TimerFired, in the order in which they happened. Then it calls RunRound
// once for all events of one moment. During any of these calls, the scheduler calls the methods of the Actions that
// were passed to New. A Scheduler is not safe for concurrent use and shares nothing with other instances.
//
// # Units
//
// Times and durations are in milliseconds; times are readings of one monotonic clock that the caller passes in. Work
// is in milliseconds of service time. Cost is work divided by the mean cost hint, so a part of cost 1 is an average
// part. A normalized latency is a latency per unit of cost divided by the baseline latency, so 1 is normal. Weights
// are shares of a query's answer and add up to 1. A time of 0 means never, or not yet.
//
// # Life of a query
//
// QueryArrived and PartArrived record the query. The next round admits or rejects it (admission.go) and queues its
// parts at their shards by Rein's rule (queues.go). Queued parts are sent while a replica of their shard has capacity
// (replica_selection.go, concurrency_limit.go, slow_start.go). Every attempt is started by dispatch, which enforces
// the rules on sending (dispatch.go). AttemptEnded updates the estimates with the outcome (learning.go) and answers
// the query once it is complete (completion.go). Each round retries failed parts (retry.go), hedges or reassigns late
// ones (hedging.go) and ends queries that are out of time.
//
// # Invariants
//
//   - Each query gets exactly one final Answer, Reject or Fail, unless its client disconnects first.
//   - A non-idempotent part that may have run is never sent again.
//   - Nothing is sent to a replica later than half of the drain grace after it was reported draining or removed.
//   - A replica that is warming up is sent no more than this broker's quota of the slow-start allowance.
//   - The same events with the same seed result in the same actions: floating-point sums are computed and random
//     numbers drawn in a fixed order.
package scheduler
