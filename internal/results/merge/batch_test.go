package merge

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

func validBatch() *Batch {
	return &Batch{
		Buckets: shardmap.Range{Start: 0, End: 9},
		Schema:  slices.Clone(testSchema),
		Rows:    []Row{testRow(1, "a", 1, 5), testRow(2, "b", 1, 4), testRow(2, "c", 3, 9)},
	}
}

func TestValidate(t *testing.T) {
	order := newOrder(t, SortColumn{"premium", false}, SortColumn{"risk", true})
	require.NoError(t, order.Validate(validBatch(), nil, 3))
	for name, test := range map[string]struct {
		change func(*Batch)
		is     error
	}{
		"other column":       {func(b *Batch) { b.Schema[2].Name = "x" }, ErrSchemaMismatch},
		"other kind":         {func(b *Batch) { b.Schema[2].Kind = Int }, ErrSchemaMismatch},
		"column missing":     {func(b *Batch) { b.Schema = b.Schema[:2] }, ErrSchemaMismatch},
		"other currency":     {func(b *Batch) { b.Schema[0].Currency = "USD" }, ErrCurrencyMismatch},
		"value missing":      {func(b *Batch) { b.Rows[1].Values = b.Rows[1].Values[:2] }, ErrSchemaMismatch},
		"text for a number":  {func(b *Batch) { b.Rows[1].Values[0] = TextOf("x") }, ErrSchemaMismatch},
		"null":               {func(b *Batch) { b.Rows[1].Values[0] = Value{} }, ErrNullRank},
		"NaN":                {func(b *Batch) { b.Rows[1].Values[1] = FloatOf(math.NaN()) }, ErrInvalidNumber},
		"out of order":       {func(b *Batch) { b.Rows[2].Values[0] = IntOf(0) }, ErrOutOfOrder},
		"wrong direction":    {func(b *Batch) { b.Rows[0].Values[1] = FloatOf(1) }, ErrOutOfOrder},
		"duplicate row":      {func(b *Batch) { b.Rows[2] = b.Rows[1] }, ErrDuplicate},
		"too many rows":      {func(b *Batch) { b.Rows = append(b.Rows, testRow(3, "d", 9, 1)) }, ErrTooMany},
		"unrequested bucket": {func(b *Batch) { b.Rows[2].Bucket = 9 }, ErrUnrequestedBucket},
	} {
		t.Run(name, func(t *testing.T) {
			batch := validBatch()
			test.change(batch)
			err := order.Validate(batch, nil, 3)
			var validationError *ValidationError
			require.ErrorAs(t, err, &validationError)
			require.ErrorIs(t, err, test.is)
		})
	}
	first := order.PositionOf(testRow(1, "a", 1, 5))
	require.ErrorIs(t, order.Validate(validBatch(), &first, 3), ErrBeforePosition, "the first row is at the position, not after it")
	_, err := NewOrder(testSchema, []SortColumn{{"age", false}})
	require.ErrorIs(t, err, ErrSchemaMismatch)
}
