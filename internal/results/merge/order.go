package merge

import "cmp"

// SortColumn is one column of a rank.
type SortColumn struct {
	Column     string
	Descending bool // the greatest value first
}

// Row is a row of a shard. Bucket and key together identify it.
type Row struct {
	Bucket int
	Key    string
	Values []Value // one for each column of the schema
}

// Order is a total order of rows: the rank columns, then the bucket, then the key. Bucket and key belong to the row and
// not to the shard that holds it, so the order does not depend on how buckets are split into shards.
type Order struct {
	schema      Schema
	rankColumns []int  // indices in the schema
	descending  []bool // for each rank column
}

// NewOrder makes an order of the rows of a schema. A rank column that the schema lacks is an ErrSchemaMismatch.
func NewOrder(s Schema, by []SortColumn) (*Order, error) {
	o := &Order{schema: s}
	for _, b := range by {
		i := s.Index(b.Column)
		if i < 0 {
			return nil, invalid(-1, ErrSchemaMismatch, "rank column %q is not there", b.Column)
		}
		o.rankColumns, o.descending = append(o.rankColumns, i), append(o.descending, b.Descending)
	}
	return o, nil
}

// Position is a row's position in an order. The next page starts after the position of the last row.
type Position struct {
	Rank   []Value // values of the rank columns
	Bucket int
	Key    string
}

// PositionOf is the position of a row.
func (o *Order) PositionOf(r Row) Position {
	p := Position{Rank: make([]Value, len(o.rankColumns)), Bucket: r.Bucket, Key: r.Key}
	for i, at := range o.rankColumns {
		p.Rank[i] = r.Values[at]
	}
	return p
}

// CompareRanks compares the rank columns of two positions alone.
func (o *Order) CompareRanks(a, b []Value) int {
	for i := range min(len(a), len(b)) {
		if c := Compare(a[i], b[i]); c != 0 {
			if o.descending[i] {
				return -c
			}
			return c
		}
	}
	return 0
}

// Compare orders two positions.
func (o *Order) Compare(a, b Position) int {
	return cmp.Or(o.CompareRanks(a.Rank, b.Rank), cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Key, b.Key))
}

// compareRows orders two rows like Compare orders their positions, without allocating these.
func (o *Order) compareRows(a, b *Row) int {
	for i, at := range o.rankColumns {
		if c := Compare(a.Values[at], b.Values[at]); c != 0 {
			if o.descending[i] {
				return -c
			}
			return c
		}
	}
	return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Key, b.Key))
}
