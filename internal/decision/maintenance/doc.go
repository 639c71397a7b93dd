// Package maintenance makes the decisions behind the admin API: which backends are suspended, whether the broker is
// draining, and how each call is answered.
//
// It is a state machine without I/O or a clock: callers pass times in milliseconds and carry out the decisions.
// Nothing in it is safe for concurrent use; the broker calls it on its event loop.
//
// [Suspensions] is the set of suspended backends. A suspended backend counts as draining until it is resumed,
// whatever the endpoint list says. It gets no new work once the scheduler's share of the drain grace is over.
//
//	suspensions := maintenance.NewSuspensions()
//	suspensions.EndpointListed("s-1") // for each backend that the endpoint list names
//	result := suspensions.Suspend("s-1")
//	if result.Changed {
//		save(maintenance.EncodeSuspensions(suspensions.IDs()))
//	}
//
// [BrokerDrain] tracks whether the broker is draining, that is, making its clients go to other brokers, and how far
// the drain has come ([Phase]).
//
// Both belong to the broker and not to one of its processes. They are stored in files that every process of the
// broker reads ([EncodeSuspensions], [EncodeDrain]), so that they survive restarts and upgrades. The files and the
// reasons of answers use the platform's terms "held" for suspended and "leaf" for backend; the rest of the package
// does not.
package maintenance
