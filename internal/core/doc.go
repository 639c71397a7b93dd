// Package core holds requests, attempts and outcomes between the fronts, the scheduler and the backends, and
// guarantees that each request gets exactly one final answer.
//
// Core is a state machine. It does no I/O, starts no goroutine and reads no clock but the one that it is given; it is
// not safe for concurrent use, and all calls come from the event loop. It takes no routing decision: the scheduler
// (internal/decision/scheduler) takes them all, and core carries them out as its Actions.
//
// # Usage
//
// A front calls Core.Submit with a Request and gets the final answer by Client.Deliver. If the client disconnects
// first, the front calls Core.ClientDisconnected instead of waiting.
//
// A transport implements Transport. It gets an Attempt by Transport.Send and reports how it ended by Core.AttemptEnded,
// or, while Core is calling it, by Core.AttemptEndedLater.
//
// The loop calls Core.RunRound once after the events of each wake-up. A round reports to the scheduler, in this
// order: clients that disconnected, attempts that ended, the timer. Then the scheduler decides once, and the transport
// sends what it was given.
//
// # Invariants
//
//   - A request that Submit accepted ends once: Log.RequestEnded is called once, and Client.Deliver once unless the
//     client disconnected before.
//   - An attempt that Transport.Send got ends once. The first report counts, and later ones are ignored; at its Deadline
//     core ends it itself.
//   - Of a request that has ended no attempt begins.
//   - A non-idempotent part that may have run is not rerouted; nor does the scheduler retry it.
//   - Under resharding a bucket counts once in an answer, and a part counts only with all of its buckets.
//
// # Units
//
// Times are milliseconds of the loop's monotonic clock, and durations are milliseconds, unless a name says otherwise.
package core
