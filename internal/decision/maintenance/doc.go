// Package maintenance holds the decisions behind the admin API: which backends are suspended, whether the broker is
// draining, and what each call is answered.
//
// It is a state machine with no I/O and no clock: callers pass times in milliseconds and carry out what is decided.
// Nothing in it is safe for concurrent use; the broker calls it on its event loop.
//
// [Suspensions] is the set of suspended backends. A suspended backend counts as draining, whatever the
// endpoint list says, until it is resumed: it gets nothing new once the scheduler's share of the drain grace is over.
//
//	suspensions := maintenance.NewSuspensions()
//	suspensions.EndpointListed("s-1") // for each backend that the endpoint list names
//	result := suspensions.Suspend("s-1")
//	if result.Changed {
//		save(maintenance.EncodeSuspensions(suspensions.IDs()))
//	}
//
// [Drain] is whether the broker sends its clients elsewhere, and how far that has come ([Phase]).
//
// Both are facts of the broker and not of one process: they are stored in files that every process of the broker
// reads ([EncodeSuspensions], [EncodeDrain]), so that they survive restarts and upgrades. Those files, and the
// reasons of answers, keep the platform's words ("held", "leafs"), which appear nowhere else here.
package maintenance
