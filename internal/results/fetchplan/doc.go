// Package fetchplan plans how one page is read from many shards: how many rows to request of each, which to ask for
// more, which to wait for no longer, and when to answer with what has arrived. It does no I/O and reads no clock: times
// are ms that the caller passes. Which replica is asked and whether an attempt is retried is not decided here.
//
//	plan, requests := fetchplan.New(nowMs, options, shards, weights)
//	// Send the requests; tell the plan what comes:
//	wanted := plan.RecordAnswer(nowMs, buckets, rows, hasMore)
//	plan.RecordFailure(buckets)
//	// After that, and at decision.WakeAtMs:
//	decision := plan.Decide(nowMs)
//	// Once decision.Done, merge the batches for which plan.IsIncluded holds:
//	requests = plan.RequestMore(nowMs, page.NeedMore) // none: the page is final
//
// Each request counts rows from the position after which the page starts, and not from the request before, so that one
// answer is of one data version.
//
// Weights are shares of the query's weight. A Plan is not safe for concurrent use.
package fetchplan
