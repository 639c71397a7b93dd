// Package httpfront serves clients over HTTP/1.1 on the broker's event loop. It hands queries to core and writes their
// final answers, and serves health checks and pages.
//
// # Usage
//
// NewServer listens at once; the event loop does the rest. For a graceful shutdown call Server.BeginShutdown so that
// health checks fail, Server.StopListening once clients have had time to notice, Server.CloseIdle repeatedly until
// Server.ConnectionCounts has no connection that serves, and Server.Close. For a drain by operators, during which the
// program serves on, call Server.SetDraining, Server.CloseAfterResponse and Server.CloseIdle.
//
// # Files
//
//   - server.go: options and the state of all connections. accept.go, eviction.go, timeouts.go and shutdown.go: how
//     connections begin, give up their descriptor, exceed a time limit, and end with the program.
//   - connection.go: the state of a connection. read.go, write.go and close.go: from input to a request, from a
//     response to output, and the end.
//   - parser.go, request.go, chunked.go, response.go: HTTP/1.1 (RFC 9110, RFC 9112).
//   - routes.go: what a path and a header field mean, and the only place for their names. query.go, pages.go: what they
//     lead to.
//   - errors.go: the status of each error.
//
// # Invariants
//
//   - A request that was read is answered once, unless its client disconnects first; answers are in the order of the
//     requests.
//   - No request is served of which the answer could not be sent: none after an answer with Connection: close, and none
//     on a connection of which our side is shut down.
//   - A connection whose client may still send is not closed right after its last answer but lingers: closing over
//     unread input would reset it, and the answer could be lost. Only a time limit, an eviction or Server.Close ends
//     this.
//   - While a request is open its connection is read, so that a client that disconnects is seen.
//   - Each byte of input is parsed once, and the memory of a connection is bounded.
//
// # Units
//
// Times are milliseconds of the loop's monotonic clock, and durations are milliseconds, unless a name says otherwise.
// Nothing here is safe for concurrent use: all calls come from the event loop.
package httpfront
