// Package backendpool sends attempts to the backends and reports their outcomes: a pool of connections for every
// backend, calls that share a connection, and what is proved of a part whose connection breaks.
//
// [Pool] implements core.Transport on the event loop. Core hands over the attempts of a scheduling round with Send and
// ends the round with Flush. Flush groups them into calls, one frame each, and places every call on a connection.
// Outcomes go back through [Core]. Everything runs on the loop's thread: a Pool starts no goroutine and is not safe
// for concurrent use.
//
// Times are readings of the loop's clock; times and durations are milliseconds.
//
//   - pool.go: the options, the exported methods, the end of a scheduling round.
//   - call.go: calls and their parts.
//   - connection_selection.go: which connection takes a call, when one is opened or evicted.
//   - connection.go: one connection: its state, reading and writing.
//   - connection_end.go: closing, and what that proves of the parts in flight.
//   - answers.go: what an answer means.
//   - abandon.go: parts that are no longer wanted.
//   - timeouts.go: everything that ends by time.
//   - connection_limit.go: how many connections to a backend are opened.
//   - idle_risk.go: how long a connection may be idle and still be used.
//   - frame.go: the wire format, and the only place that knows the wire's words.
//
// # Invariants
//
//   - Each attempt that Send took gets exactly one outcome, unless Withdraw or Abandon ended it before.
//   - A part that is not completely written by its StartBy is taken back. If its frame is partly written, its
//     connection is closed for that.
//   - ConnectFailed and Rejected are reported only for parts that provably did not run: the frame was not completely
//     written, or the backend rejected the part.
//   - A malformed frame ends its connection, as the frames after it cannot be trusted.
//   - A non-idempotent part is not placed on a connection that may have been lost unseen while it was idle.
package backendpool
