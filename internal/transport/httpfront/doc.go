// Package httpfront serves clients over HTTP/1.1 on the broker's event loop. It submits queries to core, sends their
// final answers, and serves health checks and pages.
//
// # Usage
//
// NewServer listens at once; the event loop does the rest.
//
// For a graceful shutdown call Server.BeginShutdown, which makes health checks fail, and Server.StopListening once
// clients have had time to notice. Then call Server.CloseIdle repeatedly until Server.ConnectionCounts returns no
// serving connection, and finally Server.Close.
//
// For a drain by operators, during which the program keeps serving, call Server.SetDraining,
// Server.CloseAfterResponse and Server.CloseIdle.
//
// # Files
//
//   - server.go: options and the state of all connections.
//   - accept.go, eviction.go, timeouts.go, shutdown.go: accepting connections, evicting them to free descriptors,
//     enforcing time limits, and closing connections when the program shuts down.
//   - connection.go: the state of a connection.
//   - read.go, write.go, close.go: reading requests, writing responses, and closing a connection.
//   - parser.go, request.go, chunked.go, response.go: HTTP/1.1 (RFC 9110, RFC 9112).
//   - routes.go: the names and meanings of paths and header fields; no other file has them.
//   - query_queue.go, query.go, pages.go: the queue of queries, and the handlers of the routes.
//   - errors.go: the status of each error.
//
// # Invariants
//
//   - Each request that was read is answered exactly once, unless its client disconnects first. Answers are sent in
//     the order of the requests.
//   - A request is served only if its answer can be sent. None is served after an answer with Connection: close, or
//     on a connection whose sending side is shut down.
//   - A connection whose client may still send is not closed right after its last answer but lingers until the client
//     ends its side: closing it with unread input would reset it, and the answer could be lost. Only a time limit, an
//     eviction or Server.Close closes it earlier.
//   - While a request is open its connection is read, so that a disconnect of the client is noticed.
//   - Each byte of input is parsed once, and the memory of a connection is bounded.
//
// # Units
//
// Times are milliseconds of the loop's monotonic clock, and durations are milliseconds, unless a name says otherwise.
// Nothing here is safe for concurrent use: all calls come from the event loop.
package httpfront
