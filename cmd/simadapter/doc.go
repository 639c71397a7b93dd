// Command simadapter runs the scheduler behind the simulator's wire: it reads batches of events from standard input and
// writes one reply of actions for each to standard output, until the input ends. It only translates; every decision is
// the scheduler's.
//
//   - main.go: the pipe.
//   - host.go: the instances of the process and the events of a batch.
//   - instance.go: one instance and its scheduler.
package main
