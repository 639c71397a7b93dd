package merge

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

func TestValidate(t *testing.T) {
	o := newOrder(t, SortColumn{"premium", false}, SortColumn{"risk", true})
	good := func() *Batch {
		return &Batch{Buckets: shardmap.Range{Start: 0, End: 9}, Schema: slices.Clone(testSchema),
			Rows: []Row{testRow(1, "a", 1, 5), testRow(2, "b", 1, 4), testRow(2, "c", 3, 9)}}
	}
	require.NoError(t, o.Validate(good(), nil, 3))
	for name, c := range map[string]struct {
		f   func(b *Batch)
		err error
	}{
		"another column":   {func(b *Batch) { b.Schema[2].Name = "x" }, ErrSchemaMismatch},
		"another kind":     {func(b *Batch) { b.Schema[2].Kind = Int }, ErrSchemaMismatch},
		"a column less":    {func(b *Batch) { b.Schema = b.Schema[:2] }, ErrSchemaMismatch},
		"another currency": {func(b *Batch) { b.Schema[0].Currency = "USD" }, ErrCurrencyMismatch},
		"a value less":     {func(b *Batch) { b.Rows[1].Values = b.Rows[1].Values[:2] }, ErrSchemaMismatch},
		"no number":        {func(b *Batch) { b.Rows[1].Values[0] = TextOf("dear") }, ErrSchemaMismatch},
		"null":             {func(b *Batch) { b.Rows[1].Values[0] = Value{} }, ErrNullRank},
		"NaN":              {func(b *Batch) { b.Rows[1].Values[1] = FloatOf(math.NaN()) }, ErrInvalidNumber},
		"out of order":     {func(b *Batch) { b.Rows[2].Values[0] = IntOf(0) }, ErrOutOfOrder},
		"wrong way":        {func(b *Batch) { b.Rows[0].Values[1] = FloatOf(1) }, ErrOutOfOrder},
		"a row twice":      {func(b *Batch) { b.Rows[2] = b.Rows[1] }, ErrDuplicate},
		"too many":         {func(b *Batch) { b.Rows = append(b.Rows, testRow(3, "d", 9, 1)) }, ErrTooMany},
		"another's row":    {func(b *Batch) { b.Rows[2].Bucket = 9 }, ErrForeignBucket},
	} {
		b := good()
		c.f(b)
		err := o.Validate(b, nil, 3)
		var f *ValidationError
		require.ErrorAs(t, err, &f, name)
		require.ErrorIs(t, err, c.err, name)
	}
	at := o.PositionOf(testRow(1, "a", 1, 5))
	require.ErrorIs(t, o.Validate(good(), &at, 3), ErrBeforePosition, "the place itself is not after it")
	_, err := NewOrder(testSchema, []SortColumn{{"age", false}})
	require.ErrorIs(t, err, ErrSchemaMismatch)
}
