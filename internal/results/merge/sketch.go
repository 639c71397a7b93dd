package merge

import (
	"bytes"
	"errors"
	"fmt"
	"math"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// QuantileAccuracy is the greatest relative error of quantiles.
	QuantileAccuracy = 0.01

	// maxSketchBytes is the maximum size of a sketch that a backend sends.
	maxSketchBytes = 64 << 10
)

// EncodeSketches returns the quantile sketch and the distinct count sketch in the encoding that backends send.
func (p *PartialAggregate) EncodeSketches() (quantiles, distinct []byte, err error) {
	p.quantiles.Encode(&quantiles, false)
	distinct, err = p.distinct.MarshalBinary()
	return quantiles, distinct, err
}

// RestorePartialAggregate returns the aggregates that a backend sent: the count, sum, minimum and maximum, and the
// two sketches, each of which may be empty. It returns an error for a sketch that cannot be decoded, even if a sketch
// library panics.
func RestorePartialAggregate(column Column, count uint64, sum, minimum, maximum Value, quantiles, distinct []byte) (
	partial *PartialAggregate, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			partial = nil
			err = invalid(NoRow, ErrInvalidSketch, "column %q: %v", column.Name, cause)
		}
	}()
	if len(quantiles) > maxSketchBytes || len(distinct) > maxSketchBytes {
		return nil, invalid(NoRow, ErrInvalidSketch, "column %q: sketches of %d and %d bytes, not at most %d", column.Name,
			len(quantiles), len(distinct), maxSketchBytes)
	}
	partial, err = NewPartialAggregate(column)
	if err != nil {
		return nil, err
	}
	if count == 0 {
		return partial, nil
	}
	if err := validateStatistics(column, sum, minimum, maximum); err != nil {
		return nil, err
	}
	partial.Count = count
	partial.Min = minimum
	partial.Max = maximum
	partial.intSum = sum.Int
	if column.Kind == Float {
		partial.floatSum.SetFloat64(sum.Float)
	}
	if err := partial.restoreSketches(quantiles, distinct); err != nil {
		return nil, invalid(NoRow, ErrInvalidSketch, "column %q: %v", column.Name, err)
	}
	return partial, nil
}

// validateStatistics checks the sum, minimum and maximum of one value or more. A text column has no sum.
func validateStatistics(column Column, sum, minimum, maximum Value) error {
	for _, value := range []Value{minimum, maximum} {
		if value.Kind != column.Kind {
			return invalid(NoRow, ErrSchemaMismatch, "column %q: minimum or maximum of kind %v, not %v", column.Name,
				value.Kind, column.Kind)
		}
	}
	number, isNumber := sum.toFloat()
	validSum := column.Kind == Text || sum.Kind == column.Kind && isNumber && !math.IsInf(number, 0)
	if !validSum || Compare(minimum, maximum) > 0 {
		return invalid(NoRow, ErrInvalidNumber, "column %q: sum %v, minimum %v, maximum %v", column.Name, sum, minimum,
			maximum)
	}
	return nil
}

// restoreSketches decodes the sketches that are not empty. Count must have been set.
func (p *PartialAggregate) restoreSketches(quantiles, distinct []byte) error {
	if len(quantiles) > 0 {
		if err := p.restoreQuantiles(quantiles); err != nil {
			return err
		}
	}
	if len(distinct) > 0 {
		return p.distinct.UnmarshalBinary(distinct)
	}
	return nil
}

// restoreQuantiles decodes a quantile sketch. A dense store allocates all bins between the lowest and the highest
// one, and a malformed sketch of a few bytes can make that range larger than any memory. The sketch is therefore
// decoded into a sparse store. It is merged into the dense store once every bin is known to be one that a float64 can
// have.
func (p *PartialAggregate) restoreQuantiles(encoded []byte) error {
	expected := p.quantiles.IndexMapping
	sketch, err := ddsketch.DecodeDDSketch(bytes.Clone(encoded), store.SparseStoreConstructor, expected)
	if err != nil {
		return err
	}
	if !sketch.Equals(expected) { // the method of the index mapping, which the sketch embeds
		return errors.New("quantile sketch of another accuracy")
	}
	total := sketch.GetZeroCount()
	for _, bins := range []store.Store{sketch.GetPositiveValueStore(), sketch.GetNegativeValueStore()} {
		total, err = addBinCounts(total, bins, expected)
		if err != nil {
			return err
		}
	}
	if !(sketch.GetZeroCount() >= 0) || total != float64(p.Count) { // also rejects NaN
		return fmt.Errorf("quantile sketch of %v values, not %d", total, p.Count)
	}
	return p.quantiles.MergeWith(sketch)
}

// addBinCounts returns the total plus the counts of the bins. It returns an error for a bin that no value can have,
// or whose count is negative, NaN or infinite.
func addBinCounts(total float64, bins store.Store, indexMapping mapping.IndexMapping) (float64, error) {
	lowest := indexMapping.Index(indexMapping.MinIndexableValue())
	highest := indexMapping.Index(indexMapping.MaxIndexableValue())
	var err error
	bins.ForEach(func(index int, count float64) (stop bool) {
		if index < lowest || index > highest || !(count >= 0) || math.IsInf(count, 0) {
			err = fmt.Errorf("bin %d with count %v", index, count)
			return true
		}
		total += count
		return false
	})
	return total, err
}
