// Package fetchplan plans how one page is read from many shards: how many rows to request of each shard, which shards
// to ask for more rows, which to stop waiting for, and when to answer with the rows that have arrived. It does no I/O
// and reads no clock: the caller passes times in ms. It does not choose replicas or decide about retries.
//
//	plan, requests := fetchplan.New(nowMs, options, shards, weights)
//	// Send the requests and record the answers and failures:
//	wanted := plan.RecordAnswer(nowMs, buckets, rows, hasMore)
//	plan.RecordFailure(buckets)
//	// After each of them, and at decision.WakeAtMs:
//	decision := plan.Decide(nowMs)
//	// Once decision.Done, merge the batches for which plan.IsIncluded holds:
//	requests = plan.RequestMore(nowMs, page.NeedMore) // if none, the page is final
//
// Each request asks for rows from the start position of the page, including those that earlier requests returned.
// Thus all rows of an answer are of one data version.
//
// Weights are shares of the query's weight. A Plan is not safe for concurrent use.
package fetchplan
