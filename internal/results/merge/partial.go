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

// Add adds one value; null counts for nothing. A value that cannot be added is an error and changes nothing.
func (p *PartialAggregate) Add(value Value) error {
	if value.Kind == Null {
		return nil
	}
	if value.Kind != p.Column.Kind {
		return invalid(NoRow, ErrSchemaMismatch, "%s is %v, not %v", p.Column.Name, value.Kind, p.Column.Kind)
	}
	number, isNumber := value.toFloat()
	if value.Kind == Float && (!isNumber || math.IsInf(number, 0)) {
		return invalid(NoRow, ErrInvalidNumber, "%s", p.Column.Name)
	}
	intSum, overflow := addInts(p.intSum, value.Int) // Int is 0 in values of other kinds
	if overflow {
		return invalid(NoRow, ErrOverflow, "%s", p.Column.Name)
	}
	if isNumber {
		// The sketch rejects the greatest floats; it is unchanged then.
		if err := p.quantiles.Add(number); err != nil {
			return invalid(NoRow, ErrInvalidSketch, "%s: %v", p.Column.Name, err)
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

// extendMinMax makes Min and Max cover other values, before Count counts these.
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
		return invalid(NoRow, ErrOverflow, "%s", p.Column.Name)
	}
	count, carry := bits.Add64(p.Count, other.Count, 0)
	if carry != 0 {
		return invalid(NoRow, ErrOverflow, "count of %s", p.Column.Name)
	}
	// A merge that fails may have changed its receiver, hence the copies.
	quantiles := p.quantiles.Copy()
	if err := quantiles.MergeWith(other.quantiles); err != nil {
		return invalid(NoRow, ErrInvalidSketch, "%s: %v", p.Column.Name, err)
	}
	distinct := p.distinct.Clone()
	if err := distinct.Merge(other.distinct); err != nil {
		return invalid(NoRow, ErrInvalidSketch, "%s: %v", p.Column.Name, err)
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

// Sum is the sum of the values, rounded once; ErrOverflow if no float64 holds it.
func (p *PartialAggregate) Sum() (Value, error) {
	if p.Column.Kind == Int {
		return IntOf(p.intSum), nil
	}
	sum, _ := p.floatSum.Float64()
	if math.IsInf(sum, 0) {
		return Value{}, invalid(NoRow, ErrOverflow, "%s", p.Column.Name)
	}
	return FloatOf(sum), nil
}

// Mean is the mean of the values; null if there are none.
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
		return Value{}, invalid(NoRow, ErrOverflow, "%s", p.Column.Name)
	}
	return FloatOf(mean), nil
}

// Quantile is the value below which a share of the values lies, from 0 to 1, within QuantileAccuracy; null if there are
// no values.
func (p *PartialAggregate) Quantile(share float64) (Value, error) {
	if p.Count == 0 {
		return Value{}, nil
	}
	quantile, err := p.quantiles.GetValueAtQuantile(share)
	if err != nil {
		return Value{}, invalid(NoRow, ErrInvalidSketch, "%s: %v", p.Column.Name, err)
	}
	return FloatOf(quantile), nil
}

// Distinct estimates the number of distinct values.
func (p *PartialAggregate) Distinct() uint64 { return p.distinct.Estimate() }
