// Package pageread reads one page of one query, from its first requests to its result. It combines the plan
// (fetchplan), the merge (merge), the report of completeness (completeness) and the cursor of the next page (cursor).
// It does no I/O and reads no clock: the caller passes times in ms.
//
//	reader, requests := pageread.New(nowMs, query, parts, previous)
//	for {
//		// Send the requests. Call RecordAnswer, RecordFailure and Reshard for what happens.
//		step := reader.Step(nowMs)
//		if step.Result != nil || step.CannotAnswer {
//			break
//		}
//		requests = step.Requests // if none, call Step on the next answer or at step.WakeAtMs
//	}
//
// The caller chooses replicas, and decides whether to retry an attempt or to reject a query.
//
// Weights are shares of the query's weight. A Reader is not safe for concurrent use.
package pageread
