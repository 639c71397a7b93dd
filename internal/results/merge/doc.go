// Package merge combines the ranked rows and partial aggregates that shards return for one query. It does no I/O and
// reads no clock.
//
// ParseClause reads what the client asks for. NewOrder makes the total order of rows from the clause's SortColumns and
// a schema. Order.Validate checks a Batch, the rows of one shard, as a whole before any of them is merged. Order.Merge
// puts validated batches into one Page and names the shards that must return more rows before the page is final:
//
//	order, err := merge.NewOrder(schema, clause.SortColumns())
//	...
//	if err := order.Validate(batch, after, maxRows); err != nil {
//		// Leave the whole batch out and report its shard as missing.
//	}
//	page := order.Merge(batches, clause.Page.Size)
//
// Aggregates of a column are a PartialAggregate, those of a query Groups. Both combine in any order with the same
// result: sums of floats are exact until they are read, quantiles are a DDSketch and distinct counts a HyperLogLog.
//
// What cannot be combined is a *ValidationError that wraps one of the package's error values, and leaves the receiver
// as it was.
//
// The JSON names of a clause are mapped in clause.go. Values of the package's types are not safe for concurrent use.
package merge
