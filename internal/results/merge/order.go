package merge

import "cmp"

// SortColumn is one column of an order.
type SortColumn struct {
	Column     string
	Descending bool // the greatest first
}

// Row is a row as a slice gave it. District and key are its own: together they are a row's name.
type Row struct {
	Bucket int
	Key    string
	Values []Value
}

// Order is the total order of rows: the rank columns, then the district, then the key. The last two are the
// row's own and not the slice's, so that the order is the same however districts are sliced.
type Order struct {
	schema      Schema
	rankColumns []int
	descending  []bool
}

// NewOrder makes an order of a table's rows.
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

// Position is a row's place in an order: the next page is what comes after it.
type Position struct {
	Rank   []Value
	Bucket int
	Key    string
}

// PositionOf is where a row stands.
func (o *Order) PositionOf(r Row) Position {
	p := Position{Rank: make([]Value, len(o.rankColumns)), Bucket: r.Bucket, Key: r.Key}
	for i, at := range o.rankColumns {
		p.Rank[i] = r.Values[at]
	}
	return p
}

// CompareRanks compares the rank columns of two places alone.
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

// Compare orders two places.
func (o *Order) Compare(a, b Position) int {
	return cmp.Or(o.CompareRanks(a.Rank, b.Rank), cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Key, b.Key))
}

// compareRows compares two rows without making their places.
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
