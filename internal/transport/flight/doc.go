// Package flight implements Arrow Flight for the broker: a front that accepts queries as DoGet calls ([Front]), and a
// client that sends attempts to backends as DoGet calls ([BackendClient]). Both are off unless enabled in a [Config].
//
//   - config.go: the settings.
//   - front.go, front_answer.go: clients' calls, from the ticket to the status or record batch.
//   - client_wire.go: the protocol with clients: names, columns and limits.
//   - connection_log.go: the log line of a client connection.
//   - backend_client.go: the implementation of core.Transport.
//   - backend_connection.go: gRPC connections to backends.
//   - attempt.go, outcome.go: one attempt, and its outcome according to how its call ended.
//   - backend_wire.go: the protocol with backends.
//
// # Goroutines
//
// All decisions are made on the event loop. gRPC needs goroutines, which exist only in this package. They reach the
// loop only through [Loop].Post, which does not block. A field may be used only on the loop unless its comment says
// otherwise.
//
//   - Listen starts a goroutine that accepts connections. It ends when Stop is called or the listener fails.
//   - Stop starts a goroutine that waits for the calls in flight. It ends with the last of them.
//   - gRPC starts a goroutine for each DoGet of a client. It waits until the loop has submitted or rejected the
//     query, and ends with the answer or when the call is cancelled or reaches its deadline.
//   - Flush starts a goroutine for each attempt. It ends with the backend's answer, at the attempt's deadline, or
//     when Withdraw, Abandon or Close cancels the attempt.
//   - gRPC starts several goroutines for each connection to a backend. They end when the connection is closed, at the
//     latest by Close.
//
// # Invariants
//
//   - Each accepted query gets exactly one final answer, unless its client disconnects first.
//   - Each attempt passed to Send gets exactly one outcome, unless Withdraw or Abandon ends it before.
//   - ConnectFailed, NotSent, Rejected and NotHolder are reported only for attempts that provably did not run.
//   - gRPC does not retry calls; the scheduler decides on retries.
package flight
