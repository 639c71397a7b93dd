// Package backendpool sends attempts to the backends and reports their outcomes. It keeps a pool of connections to
// each backend, sends several calls over one connection, and determines whether a part whose connection broke may
// have run.
//
// [Pool] implements core.Transport on the event loop. Core passes the attempts of a scheduling round to Send and ends
// the round with Flush. Flush groups the attempts into calls, one frame each, and assigns each call to a connection.
// The pool reports outcomes through [Core]. All code runs on the loop's thread: a Pool starts no goroutine and is not
// safe for concurrent use.
//
// Times are readings of the loop's clock. Times and durations are in milliseconds.
//
//   - pool.go: options, exported methods, the end of a scheduling round.
//   - call.go: calls and their parts.
//   - connection_selection.go: selects, opens and evicts connections.
//   - connection.go: the state of one connection, reading and writing.
//   - connection_end.go: closes connections and derives the outcomes of their parts.
//   - answers.go: handles answers.
//   - abandon.go: withdraws and abandons attempts.
//   - timeouts.go: timeouts.
//   - connection_limit.go: limits the connections to one backend.
//   - idle_risk.go: decides whether an idle connection may still be used.
//   - frame.go: the wire format. No other file contains names of the wire format.
//
// # Invariants
//
//   - Each attempt passed to Send gets exactly one outcome, unless Withdraw or Abandon ended it before.
//   - A part whose frame is not completely written by the part's StartBy ends without running. If its frame is partly
//     written, the connection is closed so that the backend never receives the rest.
//   - ConnectFailed and Rejected are reported only for parts that provably did not run: the frame was not completely
//     written, or the backend rejected the part.
//   - A malformed frame closes its connection, because the frames after it cannot be trusted.
//   - A non-idempotent part is not placed on a connection that may have been lost silently while it was idle.
package backendpool
