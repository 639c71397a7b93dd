package merge

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/big"
	"math/bits"
	"slices"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
	"github.com/axiomhq/hyperloglog"
)

// Accuracy is the relative error of quantiles.
const Accuracy = 0.01

// exactBits hold any sum of float64 exactly: exponents from -1074 to 1023, and 2^64 of them.
const exactBits = 2200

// Partial is the aggregates of one column over some rows of a group. Those of several slices combine in any
// order.
type Partial struct {
	Column   Column
	Count    uint64 // of rows with a value
	Min, Max Value  // Null where there is none

	ints     int64
	floats   *big.Float
	quantile *ddsketch.DDSketch
	distinct *hyperloglog.Sketch
}

// NewPartial makes aggregates of nothing.
func NewPartial(c Column) (*Partial, error) {
	s, err := ddsketch.NewDefaultDDSketch(Accuracy)
	if err != nil {
		return nil, err
	}
	return &Partial{Column: c, floats: new(big.Float).SetPrec(exactBits), quantile: s,
		distinct: hyperloglog.New()}, nil
}

// Add takes one value. Null counts for nothing. One that cannot be added changes nothing.
func (p *Partial) Add(v Value) error {
	if v.Kind == Null {
		return nil
	}
	if v.Kind != p.Column.Kind {
		return fault(-1, ErrSchema, "%s is %v, not %v", p.Column.Name, v.Kind, p.Column.Kind)
	}
	x, number := v.number()
	if v.Kind == Float && (!number || math.IsInf(x, 0)) {
		return fault(-1, ErrNaN, "%s", p.Column.Name)
	}
	sum, over := addInts(p.ints, v.Int) // of others than ints nothing is added
	if over {
		return fault(-1, ErrOverflow, "%s", p.Column.Name)
	}
	if number {
		if err := p.quantile.Add(x); err != nil { // of the greatest floats there are; it changes nothing then
			return fault(-1, ErrSketch, "%s: %v", p.Column.Name, err)
		}
	}
	if p.ints = sum; v.Kind == Float {
		p.floats.Add(p.floats, new(big.Float).SetPrec(exactBits).SetFloat64(x))
	}
	p.distinct.Insert([]byte(v.String()))
	if p.Count++; p.Count == 1 || Compare(v, p.Min) < 0 {
		p.Min = v
	}
	if p.Count == 1 || Compare(v, p.Max) > 0 {
		p.Max = v
	}
	return nil
}

// addInts adds two integers and tells whether that overflows.
func addInts(a, b int64) (sum int64, over bool) {
	sum = a + b
	return sum, (a > 0 && b > 0 && sum < 0) || (a < 0 && b < 0 && sum >= 0)
}

// Combine takes another slice's aggregates in. What cannot be combined is an error that names it, and changes
// nothing.
func (p *Partial) Combine(o *Partial) error {
	if err := (Schema{p.Column}).Same(Schema{o.Column}); err != nil {
		return err
	}
	sum, over := addInts(p.ints, o.ints)
	if over {
		return fault(-1, ErrOverflow, "%s", p.Column.Name)
	}
	if _, carry := bits.Add64(p.Count, o.Count, 0); carry != 0 {
		return fault(-1, ErrOverflow, "count of %s", p.Column.Name)
	}
	quantile, distinct := p.quantile.Copy(), p.distinct.Clone()
	if err := quantile.MergeWith(o.quantile); err != nil {
		return fault(-1, ErrSketch, "%s: %v", p.Column.Name, err)
	}
	if err := distinct.Merge(o.distinct); err != nil {
		return fault(-1, ErrSketch, "%s: %v", p.Column.Name, err)
	}
	p.quantile, p.distinct, p.ints = quantile, distinct, sum
	p.floats.Add(p.floats, o.floats)
	if o.Count > 0 {
		if p.Count == 0 || Compare(o.Min, p.Min) < 0 {
			p.Min = o.Min
		}
		if p.Count == 0 || Compare(o.Max, p.Max) > 0 {
			p.Max = o.Max
		}
	}
	p.Count += o.Count
	return nil
}

// Sum is the sum of what was added; an error if it is no float64.
func (p *Partial) Sum() (Value, error) {
	if p.Column.Kind == Int {
		return IntOf(p.ints), nil
	}
	x, _ := p.floats.Float64()
	if math.IsInf(x, 0) {
		return Value{}, fault(-1, ErrOverflow, "%s", p.Column.Name)
	}
	return FloatOf(x), nil
}

// Mean is the mean; Null of nothing.
func (p *Partial) Mean() (Value, error) {
	if p.Count == 0 {
		return Value{}, nil
	}
	sum := new(big.Float).SetPrec(exactBits).Set(p.floats)
	if p.Column.Kind == Int {
		sum.SetInt64(p.ints)
	}
	x, _ := sum.Quo(sum, new(big.Float).SetPrec(exactBits).SetUint64(p.Count)).Float64()
	if math.IsInf(x, 0) {
		return Value{}, fault(-1, ErrOverflow, "%s", p.Column.Name)
	}
	return FloatOf(x), nil
}

// Quantile is the value below which a share q of the values lie, within Accuracy; Null of nothing.
func (p *Partial) Quantile(q float64) (Value, error) {
	if p.Count == 0 {
		return Value{}, nil
	}
	x, err := p.quantile.GetValueAtQuantile(q)
	if err != nil {
		return Value{}, fault(-1, ErrSketch, "%s: %v", p.Column.Name, err)
	}
	return FloatOf(x), nil
}

// Distinct is about how many different values there are.
func (p *Partial) Distinct() uint64 { return p.distinct.Estimate() }

// Sketches are the two sketches as nodes send them.
func (p *Partial) Sketches() (quantile, distinct []byte, err error) {
	p.quantile.Encode(&quantile, false)
	distinct, err = p.distinct.MarshalBinary()
	return quantile, distinct, err
}

const sketchMost = 64 << 10 // bytes of a sketch that a node may send

// Restore makes aggregates of what a node sent. A sketch that cannot be read is an error, also where the
// library would not survive it.
func Restore(c Column, count uint64, sum, least, most Value, quantile, distinct []byte) (
	p *Partial, err error) {
	defer func() {
		if e := recover(); e != nil {
			p, err = nil, fault(-1, ErrSketch, "%s: %v", c.Name, e)
		}
	}()
	if len(quantile) > sketchMost || len(distinct) > sketchMost {
		return nil, fault(-1, ErrSketch, "%s: %d and %d bytes", c.Name, len(quantile), len(distinct))
	}
	if p, err = NewPartial(c); err != nil {
		return nil, err
	}
	if count == 0 {
		return p, nil
	}
	for _, v := range []Value{least, most} {
		if v.Kind != c.Kind {
			return nil, fault(-1, ErrSchema, "%s is %v, not %v", c.Name, v.Kind, c.Kind)
		}
	}
	x, number := sum.number()
	if c.Kind != Text && (sum.Kind != c.Kind || !number || math.IsInf(x, 0)) || Compare(least, most) > 0 {
		return nil, fault(-1, ErrNaN, "%s: sum %v from %v to %v", c.Name, sum, least, most)
	}
	p.Count, p.Min, p.Max, p.ints = count, least, most, sum.Int
	if c.Kind == Float {
		p.floats.SetFloat64(x)
	}
	if len(quantile) > 0 {
		if err := p.restoreQuantiles(quantile, count); err != nil {
			return nil, fault(-1, ErrSketch, "%s: %v", c.Name, err)
		}
	}
	if len(distinct) > 0 {
		if err := p.distinct.UnmarshalBinary(distinct); err != nil {
			return nil, fault(-1, ErrSketch, "%s: %v", c.Name, err)
		}
	}
	return p, nil
}

// restoreQuantiles takes the sketch of a node. It is read into a store that grows with its bins and not with
// how far these lie apart, and only bins that values can have come to the sketch that is merged. Guards the
// broker against 85 bytes that made the usual store ask for 1.2 TB: the fuzzer's find, kept under testdata.
func (p *Partial) restoreQuantiles(text []byte, count uint64) error {
	s, err := ddsketch.DecodeDDSketch(bytes.Clone(text), store.SparseStoreConstructor, p.quantile.IndexMapping)
	if err != nil {
		return err
	}
	m := p.quantile.IndexMapping
	if !s.IndexMapping.Equals(m) {
		return errors.New("quantiles of another accuracy")
	}
	low, high, total := m.Index(m.MinIndexableValue()), m.Index(m.MaxIndexableValue()), s.GetZeroCount()
	for _, from := range []store.Store{s.GetPositiveValueStore(), s.GetNegativeValueStore()} {
		from.ForEach(func(index int, n float64) (stop bool) {
			if index < low || index > high || !(n >= 0) || math.IsInf(n, 0) {
				err = fmt.Errorf("bin %d with %v values", index, n)
				return true
			}
			total += n
			return false
		})
	}
	if err != nil {
		return err
	}
	if !(s.GetZeroCount() >= 0) || total != float64(count) {
		return fmt.Errorf("quantiles of %v values, not %d", total, count)
	}
	if err := p.quantile.MergeWith(s); err != nil {
		return err
	}
	return nil
}

// Groups are aggregates by group: the values of the group's columns, and a partial for each aggregated
// column.
type Groups struct {
	columns []Column
	most    int
	by      map[string]*Group
}

// Group is one group.
type Group struct {
	Values   []Value
	Partials []*Partial
}

// NewGroups makes an empty set of at most so many groups.
func NewGroups(columns []Column, most int) *Groups {
	return &Groups{columns: columns, most: most, by: map[string]*Group{}}
}

func groupKey(values []Value) string {
	var b []byte
	for _, v := range values {
		b = append(b, v.Kind.String()...)
		b = append(b, v.String()...)
		b = append(b, 0)
	}
	return string(b)
}

// Of is the group of these values; an error beyond the bound.
func (g *Groups) Of(values []Value) (*Group, error) {
	key := groupKey(values)
	if x := g.by[key]; x != nil {
		return x, nil
	}
	if len(g.by) >= g.most {
		return nil, fault(-1, ErrTooMany, "more than %d groups", g.most)
	}
	x := &Group{Values: slices.Clone(values)}
	for _, c := range g.columns {
		p, err := NewPartial(c)
		if err != nil {
			return nil, err
		}
		x.Partials = append(x.Partials, p)
	}
	g.by[key] = x
	return x, nil
}

// Put adds a group that is not there yet.
func (g *Groups) Put(values []Value, partials []*Partial) error {
	n := len(g.by)
	x, err := g.Of(values)
	if err != nil {
		return err
	}
	if len(g.by) == n || len(partials) != len(g.columns) {
		return fault(-1, ErrTwice, "group %v", values)
	}
	x.Partials = partials
	return nil
}

// Columns are those that are aggregated.
func (g *Groups) Columns() []Column { return g.columns }

// Combine takes another slice's groups in, or none of them.
func (g *Groups) Combine(o *Groups) error {
	next := NewGroups(g.columns, g.most)
	for _, from := range []*Groups{g, o} {
		for _, x := range from.by {
			to, err := next.Of(x.Values)
			if err != nil {
				return err
			}
			if len(to.Partials) != len(x.Partials) {
				return fault(-1, ErrSchema, "%d aggregates, not %d", len(x.Partials), len(to.Partials))
			}
			for i, p := range x.Partials {
				if err := to.Partials[i].Combine(p); err != nil {
					return err
				}
			}
		}
	}
	g.by = next.by
	return nil
}

// All are the groups in order of their values.
func (g *Groups) All() []*Group {
	out := make([]*Group, 0, len(g.by))
	for _, x := range g.by {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *Group) int {
		for i := range a.Values {
			if c := Compare(a.Values[i], b.Values[i]); c != 0 {
				return c
			}
		}
		return 0
	})
	return out
}
