package merge

import "cmp"

// SortColumn is one column of a rank.
type SortColumn struct {
	Column     string
	Descending bool // greatest value first
}

// Row is a row of a shard. Its bucket and key together identify it.
type Row struct {
	Bucket int
	Key    string
	Values []Value // one for each column of the schema
}

// Order is a total order of rows: by the rank columns, then the bucket, then the key. Bucket and key are properties
// of the row, whichever shard holds it, so the order does not depend on how buckets are split into shards.
type Order struct {
	schema      Schema
	rankColumns []int  // indices in the schema
	descending  []bool // for each rank column
}

// NewOrder returns an order of rows with the given schema. It returns ErrSchemaMismatch if the schema lacks a rank
// column.
func NewOrder(schema Schema, rank []SortColumn) (*Order, error) {
	order := &Order{schema: schema}
	for _, sortColumn := range rank {
		index := schema.Index(sortColumn.Column)
		if index < 0 {
			return nil, invalid(NoRow, ErrSchemaMismatch, "rank column %q is not in the schema", sortColumn.Column)
		}
		order.rankColumns = append(order.rankColumns, index)
		order.descending = append(order.descending, sortColumn.Descending)
	}
	return order, nil
}

// Position is the place of a row in an order. The next page starts after the position of the last row.
type Position struct {
	Rank   []Value // values of the rank columns
	Bucket int
	Key    string
}

// PositionOf returns the position of a row.
func (o *Order) PositionOf(row Row) Position {
	position := Position{Rank: make([]Value, len(o.rankColumns)), Bucket: row.Bucket, Key: row.Key}
	for i, column := range o.rankColumns {
		position.Rank[i] = row.Values[column]
	}
	return position
}

// CompareRanks compares only the values of the rank columns of two positions.
func (o *Order) CompareRanks(a, b []Value) int {
	for i := range min(len(a), len(b)) {
		if c := Compare(a[i], b[i]); c != 0 {
			return o.applyDirection(i, c)
		}
	}
	return 0
}

// Compare compares two positions.
func (o *Order) Compare(a, b Position) int {
	return cmp.Or(o.CompareRanks(a.Rank, b.Rank), cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Key, b.Key))
}

// compareRows compares two rows as Compare does their positions, but without allocating the positions.
func (o *Order) compareRows(a, b *Row) int {
	for i, column := range o.rankColumns {
		if c := Compare(a.Values[column], b.Values[column]); c != 0 {
			return o.applyDirection(i, c)
		}
	}
	return cmp.Or(cmp.Compare(a.Bucket, b.Bucket), cmp.Compare(a.Key, b.Key))
}

// applyDirection negates the comparison of two values of a rank column if the column is descending.
func (o *Order) applyDirection(rankColumn, comparison int) int {
	if o.descending[rankColumn] {
		return -comparison
	}
	return comparison
}
