package merge

import (
	"math"
	"math/big"
	"math/bits"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/axiomhq/hyperloglog"
)

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
