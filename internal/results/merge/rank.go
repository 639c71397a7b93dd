package merge

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"ternstage/internal/decision/shardmap"
)

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

// Batch is what one slice gave: its next rows in order.
type Batch struct {
	Districts shardmap.Range
	Version   uint64 // of its data
	Schema    Schema
	Rows      []Row
	More      bool // it has rows after these
}

// Check names the first thing that is wrong with a batch, of which most rows were asked for, after a place
// or, if that is nil, from the first. It is checked whole before any row of it is merged.
func (o *Order) Check(b *Batch, after *Place, most int) error {
	if err := o.schema.Same(b.Schema); err != nil {
		return err
	}
	if len(b.Rows) > most {
		return fault(-1, ErrTooMany, "%d of %d", len(b.Rows), most)
	}
	for i := range b.Rows {
		r := &b.Rows[i]
		if len(r.Values) != len(o.schema) {
			return fault(i, ErrSchema, "%d values of %d columns", len(r.Values), len(o.schema))
		}
		for j, v := range r.Values {
			if v.Kind != o.schema[j].Kind && v.Kind != Null {
				return fault(i, ErrSchema, "%s is %v", o.schema[j].Name, v.Kind)
			}
		}
		for _, at := range o.at {
			if v := r.Values[at]; v.Kind == Null {
				return fault(i, ErrNull, "%s", o.schema[at].Name)
			} else if v.Kind == Float && math.IsNaN(v.Float) {
				return fault(i, ErrNaN, "%s", o.schema[at].Name)
			}
		}
		if r.District < b.Districts.Start || r.District >= b.Districts.End {
			return fault(i, ErrDistrict, "%d, not of %v", r.District, b.Districts)
		}
		if i > 0 {
			switch c := o.rows(&b.Rows[i-1], r); {
			case c == 0:
				return fault(i, ErrTwice, "district %d, key %q", r.District, r.Key)
			case c > 0:
				return fault(i, ErrOrder, "%v after %v", r.Values, b.Rows[i-1].Values)
			}
		} else if after != nil && o.Compare(o.PlaceOf(*r), *after) <= 0 {
			return fault(i, ErrBefore, "%v", r.Values)
		}
	}
	return nil
}

// Page is rows in order.
type Page struct {
	Rows []Row
	From []shardmap.Range // of each row, the districts that its slice was asked for
	// Need are those who must be asked for more before the page is final: what they have next may belong into
	// it.
	Need []shardmap.Range
	More bool // there are rows after the page
}

// head is a batch and how far it has been merged.
type head struct {
	b  *Batch
	at int
}

type heads struct {
	o    *Order
	list []head
}

func (h *heads) Len() int { return len(h.list) }
func (h *heads) Less(i, j int) bool {
	return h.o.rows(&h.list[i].b.Rows[h.list[i].at], &h.list[j].b.Rows[h.list[j].at]) < 0
}
func (h *heads) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }
func (h *heads) Push(x any)    { h.list = append(h.list, x.(head)) }
func (h *heads) Pop() any {
	n := len(h.list) - 1
	x := h.list[n]
	h.list = h.list[:n]
	return x
}

// Merge puts batches that passed Check into one page of limit rows at most. Where a batch has more to give
// and all that it gave comes before the page's last row, or the page is not full, its next rows may belong
// into the page: it is named under Need, and the rows are those of now. Nobody else can reach the page.
// Memory is that of the page. The result is the same in whatever order the batches stand and however the
// districts are cut.
func (o *Order) Merge(batches []*Batch, limit int) Page {
	h := &heads{o: o}
	p := Page{}
	for _, b := range batches {
		p.More = p.More || b.More
		if len(b.Rows) > 0 {
			h.list = append(h.list, head{b, 0})
		}
	}
	heap.Init(h)
	for len(p.Rows) < limit && h.Len() > 0 {
		top := &h.list[0]
		p.Rows, p.From = append(p.Rows, top.b.Rows[top.at]), append(p.From, top.b.Districts)
		if top.at++; top.at < len(top.b.Rows) {
			heap.Fix(h, 0)
		} else {
			heap.Pop(h)
		}
	}
	p.More = p.More || h.Len() > 0
	for _, b := range batches {
		n := len(b.Rows)
		if limit > 0 && b.More && (n == 0 || len(p.Rows) < limit || o.rows(&b.Rows[n-1], &p.Rows[limit-1]) < 0) {
			p.Need = append(p.Need, b.Districts)
		}
	}
	slices.SortFunc(p.Need, func(a, b shardmap.Range) int { return cmp.Compare(a.Start, b.Start) })
	return p
}
