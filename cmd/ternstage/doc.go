// Command ternstage is the broker: it splits queries by shard, asks replicas and gives each query one final answer.
//
// Without a sub-command, as the platform starts it, it serves:
//
//	BALANCER_CONFIG=FILE ternstage [--operator FILE]
//
// All of its state belongs to one event loop (package loop). Only calls of gRPC, signals and files that may block have
// goroutines of their own, and they reach the state by loop.Post.
//
//   - main.go: the command line; check.go: `ternstage check`; admin.go, admin_suspended.go: `ternstage admin`.
//   - serve.go: one run, from the configuration to the exit.
//   - broker.go: the parts of the broker, in the order in which they are built and closed.
//   - limits.go: CPUs, memory and descriptors.
//   - features.go: what the operator's file switches on; flight.go and sharding.go: these features.
//   - shutdown.go: the graceful shutdown.
package main
