package merge

import "cmp"

// By is one column of an order.
type By struct {
	Column string
	Down   bool // the greatest first
}

// Row is a row as a slice gave it. District and key are its own: together they are a row's name.
type Row struct {
	District int
	Key      string
	Values   []Value
}

// Order is the total order of rows: the rank columns, then the district, then the key. The last two are the
// row's own and not the slice's, so that the order is the same however districts are sliced.
type Order struct {
	schema Schema
	at     []int
	down   []bool
}

// NewOrder makes an order of a table's rows.
func NewOrder(s Schema, by []By) (*Order, error) {
	o := &Order{schema: s}
	for _, b := range by {
		i := s.Index(b.Column)
		if i < 0 {
			return nil, fault(-1, ErrSchema, "rank column %q is not there", b.Column)
		}
		o.at, o.down = append(o.at, i), append(o.down, b.Down)
	}
	return o, nil
}

// Place is a row's place in an order: the next page is what comes after it.
type Place struct {
	Rank     []Value
	District int
	Key      string
}

// PlaceOf is where a row stands.
func (o *Order) PlaceOf(r Row) Place {
	p := Place{Rank: make([]Value, len(o.at)), District: r.District, Key: r.Key}
	for i, at := range o.at {
		p.Rank[i] = r.Values[at]
	}
	return p
}

// Ranks compares the rank columns of two places alone.
func (o *Order) Ranks(a, b []Value) int {
	for i := range min(len(a), len(b)) {
		if c := Compare(a[i], b[i]); c != 0 {
			if o.down[i] {
				return -c
			}
			return c
		}
	}
	return 0
}

// Compare orders two places.
func (o *Order) Compare(a, b Place) int {
	return cmp.Or(o.Ranks(a.Rank, b.Rank), cmp.Compare(a.District, b.District), cmp.Compare(a.Key, b.Key))
}

// rows compares two rows without making their places.
func (o *Order) rows(a, b *Row) int {
	for i, at := range o.at {
		if c := Compare(a.Values[at], b.Values[at]); c != 0 {
			if o.down[i] {
				return -c
			}
			return c
		}
	}
	return cmp.Or(cmp.Compare(a.District, b.District), cmp.Compare(a.Key, b.Key))
}
