package merge

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

// Batch holds the next rows of one shard, in order.
type Batch struct {
	Buckets shardmap.Range
	Version uint64 // of the shard's data
	Schema  Schema
	Rows    []Row
	HasMore bool // the shard has rows after these
}

// Validate checks a batch and returns an error for the first fault. maxRows is the number of rows that were
// requested. after is the position after which they were requested; nil means from the first row. A batch is
// validated as a whole before it is merged, so that an answer holds all rows of a batch or none.
func (o *Order) Validate(batch *Batch, after *Position, maxRows int) error {
	if err := o.schema.CheckCompatible(batch.Schema); err != nil {
		return err
	}
	if len(batch.Rows) > maxRows {
		return invalid(NoRow, ErrTooMany, "%d rows, %d were requested", len(batch.Rows), maxRows)
	}
	for i := range batch.Rows {
		row := &batch.Rows[i]
		if err := o.validateValues(i, row); err != nil {
			return err
		}
		if row.Bucket < batch.Buckets.Start || row.Bucket >= batch.Buckets.End {
			return invalid(i, ErrUnrequestedBucket, "bucket %d is not in buckets %v", row.Bucket, batch.Buckets)
		}
		if i > 0 {
			if err := o.validateSuccessor(i, &batch.Rows[i-1], row); err != nil {
				return err
			}
		} else if after != nil && o.Compare(o.PositionOf(*row), *after) <= 0 {
			return invalid(i, ErrBeforePosition, "values %v", row.Values)
		}
	}
	return nil
}

// validateValues checks the values of the row at an index against the schema. It also checks that rank columns have
// no nulls or NaNs.
func (o *Order) validateValues(index int, row *Row) error {
	if len(row.Values) != len(o.schema) {
		return invalid(index, ErrSchemaMismatch, "%d values for %d columns", len(row.Values), len(o.schema))
	}
	for i, value := range row.Values {
		if value.Kind != o.schema[i].Kind && value.Kind != Null {
			return invalid(index, ErrSchemaMismatch, "column %q: value of kind %v, not %v", o.schema[i].Name, value.Kind,
				o.schema[i].Kind)
		}
	}
	for _, column := range o.rankColumns {
		value := row.Values[column]
		if value.Kind == Null {
			return invalid(index, ErrNullRank, "column %q", o.schema[column].Name)
		}
		if value.Kind == Float && math.IsNaN(value.Float) {
			return invalid(index, ErrInvalidNumber, "column %q: NaN", o.schema[column].Name)
		}
	}
	return nil
}

// validateSuccessor checks that the row at an index comes after the one before it.
func (o *Order) validateSuccessor(index int, previous, row *Row) error {
	comparison := o.compareRows(previous, row)
	if comparison == 0 {
		return invalid(index, ErrDuplicate, "bucket %d, key %q", row.Bucket, row.Key)
	}
	if comparison > 0 {
		return invalid(index, ErrOutOfOrder, "values %v after %v", row.Values, previous.Values)
	}
	return nil
}
