// Package core holds requests, attempts and outcomes between the fronts, the scheduler and the transports, and
// guarantees that each request gets exactly one final answer.
//
// Core is a state machine. It does no I/O, starts no goroutine and reads no clock but the one that it is given. It is
// not safe for concurrent use: all calls come from the event loop. Core makes no routing decisions. The scheduler
// (internal/decision/scheduler) makes them, and core carries them out as the scheduler's Actions.
//
// # Usage
//
// A front calls Core.Submit with a Request and receives the final answer through Client.Deliver. If the client
// disconnects first, the front calls Core.ClientDisconnected.
//
// A transport implements Transport. It receives an Attempt through Transport.Send and reports how the attempt ended
// with Core.AttemptEnded, or with Core.AttemptEndedLater while Core is calling it.
//
// The loop calls Core.RunRound once after the events of each wake-up. A scheduling round reports to the scheduler, in
// this order: clients that disconnected, attempts that ended, the timer. Then the scheduler decides once, and the
// transport sends the attempts that it was given.
//
// # Invariants
//
//   - A request that Submit accepted ends once: Log.RequestEnded is called once, and Client.Deliver is called once
//     unless the client disconnected before.
//   - An attempt passed to Transport.Send ends once. The first report counts, and later ones are ignored. Core ends
//     the attempt at its Deadline if nothing was reported until then.
//   - No attempt begins after its request has ended.
//   - A non-idempotent part that may have run is not rerouted, and the scheduler does not retry it.
//   - Under resharding, each bucket counts once in an answer, and a part counts only with all of its buckets.
//
// # Units
//
// Times are milliseconds of the loop's monotonic clock, and durations are milliseconds, unless a name says otherwise.
package core
