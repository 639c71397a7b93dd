// Command ternstage is the broker: it splits queries by shard, sends the parts to replicas and gives each query one
// final answer.
//
// Without a sub-command, as the platform starts it, it serves:
//
//	BALANCER_CONFIG=FILE ternstage [--operator FILE]
//
// All of its state belongs to one event loop (package loop). Only gRPC calls, signal handling and file access that
// may block run in other goroutines, which access the state through loop.Post.
//
//   - main.go: the command line; check.go: `ternstage check`; admin.go, admin_suspended.go: `ternstage admin`.
//   - serve.go: one run, from reading the configuration to the exit.
//   - broker.go: the components of the broker, in the order in which they are built and closed.
//   - limits.go: limits for CPUs, memory and descriptors.
//   - features.go: the features that the operator's file enables; flight.go and sharding.go: these features.
//   - shutdown.go: the graceful shutdown.
package main
