package merge

import (
	"math"
	"math/big"
	"math/bits"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/axiomhq/hyperloglog"
)

// exactSumBits is the precision at which sums of up to 2^64 float64 are exact: their exponents are -1074 to 1023.
const exactSumBits = 2200

// PartialAggregate is the aggregates of one column over some rows of a group. Those of several shards combine in any
// order with the same result.
type PartialAggregate struct {
	Column   Column
	Count    uint64 // of rows with a value
	Min, Max Value  // null if Count is 0

	intSum    int64      // of an Int column
	floatSum  *big.Float // of a Float column, with exactSumBits
	quantiles *ddsketch.DDSketch
	distinct  *hyperloglog.Sketch
}

// NewPartialAggregate makes the aggregates of no rows.
func NewPartialAggregate(c Column) (*PartialAggregate, error) {
	s, err := ddsketch.NewDefaultDDSketch(QuantileAccuracy)
	if err != nil {
		return nil, err
	}
	return &PartialAggregate{Column: c, floatSum: new(big.Float).SetPrec(exactSumBits), quantiles: s,
		distinct: hyperloglog.New()}, nil
}

// Add adds one value; null counts for nothing. A value that cannot be added is an error and changes nothing.
func (p *PartialAggregate) Add(v Value) error {
	if v.Kind == Null {
		return nil
	}
	if v.Kind != p.Column.Kind {
		return invalid(-1, ErrSchemaMismatch, "%s is %v, not %v", p.Column.Name, v.Kind, p.Column.Kind)
	}
	x, number := v.number()
	if v.Kind == Float && (!number || math.IsInf(x, 0)) {
		return invalid(-1, ErrInvalidNumber, "%s", p.Column.Name)
	}
	sum, over := addInts(p.intSum, v.Int) // of others than ints nothing is added
	if over {
		return invalid(-1, ErrOverflow, "%s", p.Column.Name)
	}
	if number {
		if err := p.quantiles.Add(x); err != nil { // of the greatest floats there are; it changes nothing then
			return invalid(-1, ErrInvalidSketch, "%s: %v", p.Column.Name, err)
		}
	}
	if p.intSum = sum; v.Kind == Float {
		p.floatSum.Add(p.floatSum, new(big.Float).SetPrec(exactSumBits).SetFloat64(x))
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

// addInts adds two integers and reports whether the sum overflows.
func addInts(a, b int64) (sum int64, over bool) {
	sum = a + b
	return sum, (a > 0 && b > 0 && sum < 0) || (a < 0 && b < 0 && sum >= 0)
}

// Combine adds the aggregates of another shard. If they cannot be combined, it returns an error and changes nothing.
func (p *PartialAggregate) Combine(o *PartialAggregate) error {
	if err := (Schema{p.Column}).CheckCompatible(Schema{o.Column}); err != nil {
		return err
	}
	sum, over := addInts(p.intSum, o.intSum)
	if over {
		return invalid(-1, ErrOverflow, "%s", p.Column.Name)
	}
	if _, carry := bits.Add64(p.Count, o.Count, 0); carry != 0 {
		return invalid(-1, ErrOverflow, "count of %s", p.Column.Name)
	}
	quantile, distinct := p.quantiles.Copy(), p.distinct.Clone()
	if err := quantile.MergeWith(o.quantiles); err != nil {
		return invalid(-1, ErrInvalidSketch, "%s: %v", p.Column.Name, err)
	}
	if err := distinct.Merge(o.distinct); err != nil {
		return invalid(-1, ErrInvalidSketch, "%s: %v", p.Column.Name, err)
	}
	p.quantiles, p.distinct, p.intSum = quantile, distinct, sum
	p.floatSum.Add(p.floatSum, o.floatSum)
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

// Sum is the sum of the values, rounded once; ErrOverflow if no float64 holds it.
func (p *PartialAggregate) Sum() (Value, error) {
	if p.Column.Kind == Int {
		return IntOf(p.intSum), nil
	}
	x, _ := p.floatSum.Float64()
	if math.IsInf(x, 0) {
		return Value{}, invalid(-1, ErrOverflow, "%s", p.Column.Name)
	}
	return FloatOf(x), nil
}

// Mean is the mean of the values; null if there are none.
func (p *PartialAggregate) Mean() (Value, error) {
	if p.Count == 0 {
		return Value{}, nil
	}
	sum := new(big.Float).SetPrec(exactSumBits).Set(p.floatSum)
	if p.Column.Kind == Int {
		sum.SetInt64(p.intSum)
	}
	x, _ := sum.Quo(sum, new(big.Float).SetPrec(exactSumBits).SetUint64(p.Count)).Float64()
	if math.IsInf(x, 0) {
		return Value{}, invalid(-1, ErrOverflow, "%s", p.Column.Name)
	}
	return FloatOf(x), nil
}

// Quantile is the value below which a share of the values lies, from 0 to 1, within QuantileAccuracy; null if there are
// no values.
func (p *PartialAggregate) Quantile(q float64) (Value, error) {
	if p.Count == 0 {
		return Value{}, nil
	}
	x, err := p.quantiles.GetValueAtQuantile(q)
	if err != nil {
		return Value{}, invalid(-1, ErrInvalidSketch, "%s: %v", p.Column.Name, err)
	}
	return FloatOf(x), nil
}

// Distinct estimates the number of distinct values.
func (p *PartialAggregate) Distinct() uint64 { return p.distinct.Estimate() }
