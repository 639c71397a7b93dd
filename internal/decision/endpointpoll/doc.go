// Package endpointpoll decides when a broker polls its endpoint list, and what follows from a response or a failure.
//
// It is a state machine without I/O and without a clock. The caller passes every time, as a float64 in ms of a
// monotonic clock. No method blocks. A Poller is not safe for concurrent use.
//
// # Modes
//
// An endpoint list reaches a broker in one of two ways.
//
//   - Polled: one discovery service serves all brokers. A broker holds a long poll (a watch) open, and the scheduler
//     decides when to restart a failed watch.
//   - Pushed: the list is pushed to a discovery agent on the broker's own machine, which answers each call at once.
//     The broker counts as notified of everything that the agent has received, even before the broker reads it. The
//     Poller therefore reads the agent at a steady period, which is derived from the drain grace. The scheduler is
//     not involved in the timing.
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
//		// Do what next says: apply the list, notify the scheduler, or call again at next.At.
//	}
//
// When the caller abandons a call to connect to another service, it calls AddressChanged before the next BeginCall.
package endpointpoll
