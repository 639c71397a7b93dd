package merge

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

// Batch is what one shard returned: its next rows, in order.
type Batch struct {
	Buckets shardmap.Range
	Version uint64 // of the shard's data
	Schema  Schema
	Rows    []Row
	HasMore bool // the shard has rows after these
}

// Validate returns the first thing that is wrong with a batch for which at most maxRows rows after a position were
// requested; a nil position requests rows from the first. A batch is validated as a whole before it is merged, so that
// an answer holds all rows of a batch or none.
func (o *Order) Validate(b *Batch, after *Position, most int) error {
	if err := o.schema.CheckCompatible(b.Schema); err != nil {
		return err
	}
	if len(b.Rows) > most {
		return invalid(-1, ErrTooMany, "%d of %d", len(b.Rows), most)
	}
	for i := range b.Rows {
		r := &b.Rows[i]
		if len(r.Values) != len(o.schema) {
			return invalid(i, ErrSchemaMismatch, "%d values of %d columns", len(r.Values), len(o.schema))
		}
		for j, v := range r.Values {
			if v.Kind != o.schema[j].Kind && v.Kind != Null {
				return invalid(i, ErrSchemaMismatch, "%s is %v", o.schema[j].Name, v.Kind)
			}
		}
		for _, at := range o.rankColumns {
			if v := r.Values[at]; v.Kind == Null {
				return invalid(i, ErrNullRank, "%s", o.schema[at].Name)
			} else if v.Kind == Float && math.IsNaN(v.Float) {
				return invalid(i, ErrInvalidNumber, "%s", o.schema[at].Name)
			}
		}
		if r.Bucket < b.Buckets.Start || r.Bucket >= b.Buckets.End {
			return invalid(i, ErrForeignBucket, "%d, not of %v", r.Bucket, b.Buckets)
		}
		if i > 0 {
			switch c := o.compareRows(&b.Rows[i-1], r); {
			case c == 0:
				return invalid(i, ErrDuplicate, "district %d, key %q", r.Bucket, r.Key)
			case c > 0:
				return invalid(i, ErrOutOfOrder, "%v after %v", r.Values, b.Rows[i-1].Values)
			}
		} else if after != nil && o.Compare(o.PositionOf(*r), *after) <= 0 {
			return invalid(i, ErrBeforePosition, "%v", r.Values)
		}
	}
	return nil
}
