// Command simadapter connects the scheduler to the simulator: it reads batches of events from standard input and
// writes one reply of actions for each batch to standard output, until the input ends. It only translates; the
// scheduler makes every decision.
//
//   - main.go: reads batches and writes replies.
//   - host.go: the instances of the process and the events of a batch.
//   - instance.go: one instance and its scheduler.
package main
