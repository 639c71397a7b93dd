package merge

import (
	"math"
	"math/big"
	"math/bits"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/axiomhq/hyperloglog"
)

// exactSumBits is a precision at which the sum of up to 2^64 float64 values is exact. Their exponents range from
// -1074 to 1023.
const exactSumBits = 2200

// PartialAggregate holds the aggregates of one column over some rows of a group. Partial aggregates of several shards
// can be combined in any order with the same result.
type PartialAggregate struct {
	Column   Column
	Count    uint64 // rows in which the column is not null
	Min, Max Value  // null if Count is 0

	intSum    int64      // for an Int column
	floatSum  *big.Float // for a Float column, with a precision of exactSumBits
	quantiles *ddsketch.DDSketch
	distinct  *hyperloglog.Sketch
}

// NewPartialAggregate returns the aggregates of a column over no rows.
func NewPartialAggregate(column Column) (*PartialAggregate, error) {
	quantiles, err := ddsketch.NewDefaultDDSketch(QuantileAccuracy)
	if err != nil {
		return nil, err
	}
	return &PartialAggregate{
		Column:    column,
		floatSum:  newExactSum(),
		quantiles: quantiles,
		distinct:  hyperloglog.New(),
	}, nil
}

func newExactSum() *big.Float { return new(big.Float).SetPrec(exactSumBits) }

// Add adds one value; it ignores null. It returns an error and changes nothing if the value cannot be added.
func (p *PartialAggregate) Add(value Value) error {
	if value.Kind == Null {
		return nil
	}
	if value.Kind != p.Column.Kind {
		return invalid(NoRow, ErrSchemaMismatch, "column %q: value of kind %v, not %v", p.Column.Name, value.Kind,
			p.Column.Kind)
	}
	number, isNumber := value.toFloat()
	if value.Kind == Float && (!isNumber || math.IsInf(number, 0)) {
		return invalid(NoRow, ErrInvalidNumber, "column %q: %v", p.Column.Name, number)
	}
	intSum, overflow := addInts(p.intSum, value.Int) // value.Int is 0 for other kinds
	if overflow {
		return invalid(NoRow, ErrOverflow, "column %q", p.Column.Name)
	}
	if isNumber {
		// The sketch rejects floats close to MaxFloat64 and then stays unchanged.
		if err := p.quantiles.Add(number); err != nil {
			return invalid(NoRow, ErrInvalidSketch, "column %q: %v", p.Column.Name, err)
		}
	}
	p.intSum = intSum
	if value.Kind == Float {
		p.floatSum.Add(p.floatSum, newExactSum().SetFloat64(number))
	}
	p.distinct.Insert([]byte(value.String()))
	p.extendMinMax(value, value)
	p.Count++
	return nil
}

// extendMinMax extends Min and Max to cover further values. It must be called before Count includes these.
func (p *PartialAggregate) extendMinMax(minimum, maximum Value) {
	if p.Count == 0 || Compare(minimum, p.Min) < 0 {
		p.Min = minimum
	}
	if p.Count == 0 || Compare(maximum, p.Max) > 0 {
		p.Max = maximum
	}
}

// addInts adds two integers and reports whether the sum overflows.
func addInts(a, b int64) (sum int64, overflow bool) {
	sum = a + b
	return sum, (a > 0 && b > 0 && sum < 0) || (a < 0 && b < 0 && sum >= 0)
}

// Combine adds the aggregates of another shard. If they cannot be combined, it returns an error and changes nothing.
func (p *PartialAggregate) Combine(other *PartialAggregate) error {
	if err := (Schema{p.Column}).CheckCompatible(Schema{other.Column}); err != nil {
		return err
	}
	intSum, overflow := addInts(p.intSum, other.intSum)
	if overflow {
		return invalid(NoRow, ErrOverflow, "column %q", p.Column.Name)
	}
	count, carry := bits.Add64(p.Count, other.Count, 0)
	if carry != 0 {
		return invalid(NoRow, ErrOverflow, "count of column %q", p.Column.Name)
	}
	// A failed merge may change its receiver, so merge into copies.
	quantiles := p.quantiles.Copy()
	if err := quantiles.MergeWith(other.quantiles); err != nil {
		return invalid(NoRow, ErrInvalidSketch, "column %q: %v", p.Column.Name, err)
	}
	distinct := p.distinct.Clone()
	if err := distinct.Merge(other.distinct); err != nil {
		return invalid(NoRow, ErrInvalidSketch, "column %q: %v", p.Column.Name, err)
	}
	p.quantiles = quantiles
	p.distinct = distinct
	p.intSum = intSum
	p.floatSum.Add(p.floatSum, other.floatSum)
	if other.Count > 0 {
		p.extendMinMax(other.Min, other.Max)
	}
	p.Count = count
	return nil
}

// Sum returns the sum of the values. A sum of floats is rounded once, and ErrOverflow if it exceeds a float64.
func (p *PartialAggregate) Sum() (Value, error) {
	if p.Column.Kind == Int {
		return IntOf(p.intSum), nil
	}
	sum, _ := p.floatSum.Float64()
	if math.IsInf(sum, 0) {
		return Value{}, invalid(NoRow, ErrOverflow, "column %q", p.Column.Name)
	}
	return FloatOf(sum), nil
}

// Mean returns the mean of the values, or null if there are none.
func (p *PartialAggregate) Mean() (Value, error) {
	if p.Count == 0 {
		return Value{}, nil
	}
	sum := newExactSum().Set(p.floatSum)
	if p.Column.Kind == Int {
		sum.SetInt64(p.intSum)
	}
	mean, _ := sum.Quo(sum, newExactSum().SetUint64(p.Count)).Float64()
	if math.IsInf(mean, 0) {
		return Value{}, invalid(NoRow, ErrOverflow, "column %q", p.Column.Name)
	}
	return FloatOf(mean), nil
}

// Quantile returns the value below which a share of the values lies, or null if there are none. The share is 0 to 1,
// and the relative error is at most QuantileAccuracy.
func (p *PartialAggregate) Quantile(share float64) (Value, error) {
	if p.Count == 0 {
		return Value{}, nil
	}
	quantile, err := p.quantiles.GetValueAtQuantile(share)
	if err != nil {
		return Value{}, invalid(NoRow, ErrInvalidSketch, "column %q: %v", p.Column.Name, err)
	}
	return FloatOf(quantile), nil
}

// Distinct returns an estimate of the number of distinct values.
func (p *PartialAggregate) Distinct() uint64 { return p.distinct.Estimate() }
