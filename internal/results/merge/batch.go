package merge

import (
	"math"

	"ternstage/internal/decision/shardmap"
)

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
