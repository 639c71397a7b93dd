// Package completeness says what an answer of merged rows lacks: which buckets are present, which are missing and why,
// which ranks are certain, and the bounds of aggregates over all rows. It does no I/O and reads no clock.
//
// New makes the Report of a query from its parts and from the summaries of their data that backends sent earlier:
//
//	report := completeness.New(parts, summaries, completenessTarget)
//	if !report.MeetsMinCompleteness(class.MinCompleteness, clause.MinCompleteness) {
//		// No answer may be given.
//	}
//	certain := report.CertainRanks(order, positions)
//	bound := report.SumBound(sum)
//
// A rank or bound is reported only if it holds whatever rows the missing buckets have. Without an applicable summary
// nothing is known of a missing part.
//
// The names of reasons in answers are mapped in reason.go. A Report is not safe for concurrent use.
package completeness
