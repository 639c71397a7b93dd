// Package flight is the Arrow Flight side of the broker: a front that takes queries by DoGet ([Front]), and a back end
// that asks backends by DoGet ([BackendClient]). Both are off unless a [Config] switches them on.
//
//   - config.go: what operators set.
//   - front.go, front_answer.go: clients' calls, from the ticket to the status or record batch.
//   - client_wire.go: the words of the clients' wire.
//   - connection_log.go: the log line of a client connection.
//   - backend_client.go: the back end as core sees it.
//   - backend_connection.go: gRPC connections to backends.
//   - attempt.go, outcome.go: one attempt and what its call's end proves.
//   - backend_wire.go: the words of the backends' wire.
//
// # Goroutines
//
// Decisions are taken on the event loop. gRPC needs goroutines; they stay in this package and reach the loop only by
// [Loop].Post, which does not wait. A field belongs to the loop unless its comment says otherwise.
//
//   - Listen starts one that accepts connections. It ends when Stop is called or the listener fails.
//   - Stop starts one that waits for the calls in flight. It ends with the last of them.
//   - gRPC starts one for each DoGet of a client. It ends with the answer, or at the call's cancellation or deadline,
//     whichever comes first, once the loop has looked at its query.
//   - Flush starts one for each attempt. It ends with the backend's answer, at the attempt's deadline, or when
//     Withdraw, Abandon or Close ends the wait, whichever comes first.
//   - gRPC starts some for each connection to a backend. They end when it is closed, at the latest by Close.
//
// # Invariants
//
//   - Each accepted query gets exactly one final answer, unless its client disconnects first.
//   - Each attempt that Send took gets exactly one outcome, unless Withdraw or Abandon ended it before.
//   - ConnectFailed, NotSent, Rejected and NotHolder are reported only for attempts that provably did not run.
//   - gRPC does not retry: whether a part is sent again is the scheduler's decision.
package flight
