// Package endpointpoll decides when a broker polls its endpoint list and what a response, or its absence, means.
//
// It is a state machine without I/O and without a clock. Every time is a float64 in ms on one monotonic clock that
// the caller passes in, and no method blocks. A Poller is not safe for concurrent use.
//
// # Modes
//
// An endpoint list reaches a broker in one of two ways.
//
//   - Polled: one discovery service serves all brokers. A broker holds a long poll (a watch) open, and the scheduler
//     decides when a watch that failed starts again.
//   - Pushed: a discovery agent on the broker's own machine is sent the list and answers each call at once. The
//     broker counts as notified of everything that the agent holds, read or not, so the Poller reads the agent at a
//     steady period that follows from the drain grace, and the scheduler is not involved in the timing.
//
// # Usage
//
//	poller := endpointpoll.NewPoller(options)
//	poller.SetCached(revision, endpointCount) // the list from the configuration
//	for {
//		call := poller.BeginCall(now)
//		// Send call; then exactly one of:
//		next := poller.HandleResponse(now, response)
//		next := poller.HandleFailure(now, timedOut)
//		// Obey next: apply the list, notify the scheduler, and call again at next.At.
//	}
//
// AddressChanged precedes BeginCall after the caller has abandoned a call to connect elsewhere.
package endpointpoll
