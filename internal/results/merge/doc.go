// Package merge combines the ranked rows and partial aggregates that shards return for one query. It does no I/O and
// reads no clock.
//
// ParseClause decodes the clause of a client. NewOrder returns the total order of rows that the clause's SortColumns
// define for a schema. Order.Validate checks a Batch, the rows of one shard, as a whole before any of them is merged.
// Order.Merge merges validated batches into one Page and lists the shards that must return more rows before the page
// is final:
//
//	order, err := merge.NewOrder(schema, clause.SortColumns())
//	...
//	if err := order.Validate(batch, after, maxRows); err != nil {
//		// Leave the whole batch out and report its shard as missing.
//	}
//	page := order.Merge(batches, clause.Page.Size)
//
// A PartialAggregate holds the aggregates of one column, and Groups holds those of a query. Both can be combined in
// any order with the same result: sums of floats are kept exact and rounded only when read, quantiles are a DDSketch
// and distinct counts a HyperLogLog.
//
// Rows or aggregates that cannot be combined yield a *ValidationError, which wraps one of the package's error values,
// and leave the receiver unchanged.
//
// The JSON form of a clause is defined in clause.go. Values of the package's types are not safe for concurrent use.
package merge
