package merge

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const QuantileAccuracy = 0.01

const maxSketchBytes = 64 << 10 // bytes of a sketch that a node may send

// Sketches encodes the two sketches as backends send them.
func (p *PartialAggregate) Sketches() (quantile, distinct []byte, err error) {
	p.quantiles.Encode(&quantile, false)
	distinct, err = p.distinct.MarshalBinary()
	return quantile, distinct, err
}

// RestorePartialAggregate makes aggregates of what a backend sent: figures of count values and the two sketches, each
// of which may be empty. Sketches that cannot be decoded are an error, also where the libraries panic.
func RestorePartialAggregate(c Column, count uint64, sum, least, most Value, quantile, distinct []byte) (
	p *PartialAggregate, err error) {
	defer func() {
		if e := recover(); e != nil {
			p, err = nil, invalid(-1, ErrInvalidSketch, "%s: %v", c.Name, e)
		}
	}()
	if len(quantile) > maxSketchBytes || len(distinct) > maxSketchBytes {
		return nil, invalid(-1, ErrInvalidSketch, "%s: %d and %d bytes", c.Name, len(quantile), len(distinct))
	}
	if p, err = NewPartialAggregate(c); err != nil {
		return nil, err
	}
	if count == 0 {
		return p, nil
	}
	for _, v := range []Value{least, most} {
		if v.Kind != c.Kind {
			return nil, invalid(-1, ErrSchemaMismatch, "%s is %v, not %v", c.Name, v.Kind, c.Kind)
		}
	}
	x, number := sum.number()
	if c.Kind != Text && (sum.Kind != c.Kind || !number || math.IsInf(x, 0)) || Compare(least, most) > 0 {
		return nil, invalid(-1, ErrInvalidNumber, "%s: sum %v from %v to %v", c.Name, sum, least, most)
	}
	p.Count, p.Min, p.Max, p.intSum = count, least, most, sum.Int
	if c.Kind == Float {
		p.floatSum.SetFloat64(x)
	}
	if len(quantile) > 0 {
		if err := p.restoreQuantiles(quantile, count); err != nil {
			return nil, invalid(-1, ErrInvalidSketch, "%s: %v", c.Name, err)
		}
	}
	if len(distinct) > 0 {
		if err := p.distinct.UnmarshalBinary(distinct); err != nil {
			return nil, invalid(-1, ErrInvalidSketch, "%s: %v", c.Name, err)
		}
	}
	return p, nil
}

// restoreQuantiles decodes a sketch of quantiles. A dense store allocates the range between the least and the greatest
// bin, which a few bytes of a malformed sketch can make larger than any memory. So the sketch is decoded into a sparse
// store, and only bins that float64 values can have are merged into the dense one.
func (p *PartialAggregate) restoreQuantiles(text []byte, count uint64) error {
	s, err := ddsketch.DecodeDDSketch(bytes.Clone(text), store.SparseStoreConstructor, p.quantiles.IndexMapping)
	if err != nil {
		return err
	}
	m := p.quantiles.IndexMapping
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
	if err := p.quantiles.MergeWith(s); err != nil {
		return err
	}
	return nil
}
