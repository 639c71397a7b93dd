// Package completeness reports how complete an answer of merged rows is: which buckets are present, which are missing
// and why, which ranks are certain, and the bounds of aggregates over all rows. It does no I/O and reads no clock.
//
// New creates the Report of a query from its parts and from the summaries of their data that backends sent earlier:
//
//	report := completeness.New(parts, summaries, completenessTarget)
//	if !report.MeetsMinCompleteness(class.MinCompleteness, clause.MinCompleteness) {
//		// Reject the query.
//	}
//	certain := report.CertainRanks(order, positions)
//	bound := report.SumBound(sum)
//
// A rank is reported as certain, and a bound as known, only if it holds for any rows that the missing buckets may
// have. Without an applicable summary, nothing is known about the rows of a missing part.
//
// The names of reasons in answers are defined in reason.go. A Report is not safe for concurrent use.
package completeness
