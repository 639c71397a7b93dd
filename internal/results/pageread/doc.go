// Package pageread reads one page of one query, from its first requests to its result. It joins the plan (fetchplan),
// the merge (merge), the report of completeness (completeness) and the cursor of the next page (cursor). It does no I/O
// and reads no clock: times are ms that the caller passes.
//
//	reader, requests := pageread.New(now, query, parts, before)
//	for {
//		// Send the requests; tell the reader what comes, with RecordAnswer, RecordFailure and Reshard.
//		step := reader.Step(now)
//		if step.Result != nil || step.CannotAnswer {
//			break
//		}
//		requests = step.Requests // if there are none, step again on the next answer, or at step.WakeAtMs
//	}
//
// Which replica is asked, whether an attempt is retried and whether a query is rejected is for the caller to decide.
//
// Weights are shares of the query's weight. A Reader is not safe for concurrent use.
package pageread
