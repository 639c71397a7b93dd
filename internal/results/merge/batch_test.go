package merge

import (
	"math"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

func TestFaultsOfABatch(t *testing.T) {
	o := order(t, By{"premium", false}, By{"risk", true})
	good := func() *Batch {
		return &Batch{Districts: shardmap.Range{Start: 0, End: 9}, Schema: slices.Clone(table),
			Rows: []Row{row(1, "a", 1, 5), row(2, "b", 1, 4), row(2, "c", 3, 9)}}
	}
	require.NoError(t, o.Check(good(), nil, 3))
	for name, c := range map[string]struct {
		f   func(b *Batch)
		err error
	}{
		"another column":   {func(b *Batch) { b.Schema[2].Name = "x" }, ErrSchema},
		"another kind":     {func(b *Batch) { b.Schema[2].Kind = Int }, ErrSchema},
		"a column less":    {func(b *Batch) { b.Schema = b.Schema[:2] }, ErrSchema},
		"another currency": {func(b *Batch) { b.Schema[0].Currency = "USD" }, ErrCurrency},
		"a value less":     {func(b *Batch) { b.Rows[1].Values = b.Rows[1].Values[:2] }, ErrSchema},
		"no number":        {func(b *Batch) { b.Rows[1].Values[0] = TextOf("dear") }, ErrSchema},
		"null":             {func(b *Batch) { b.Rows[1].Values[0] = Value{} }, ErrNull},
		"NaN":              {func(b *Batch) { b.Rows[1].Values[1] = FloatOf(math.NaN()) }, ErrNaN},
		"out of order":     {func(b *Batch) { b.Rows[2].Values[0] = IntOf(0) }, ErrOrder},
		"wrong way":        {func(b *Batch) { b.Rows[0].Values[1] = FloatOf(1) }, ErrOrder},
		"a row twice":      {func(b *Batch) { b.Rows[2] = b.Rows[1] }, ErrTwice},
		"too many":         {func(b *Batch) { b.Rows = append(b.Rows, row(3, "d", 9, 1)) }, ErrTooMany},
		"another's row":    {func(b *Batch) { b.Rows[2].District = 9 }, ErrDistrict},
	} {
		b := good()
		c.f(b)
		err := o.Check(b, nil, 3)
		var f *Fault
		require.ErrorAs(t, err, &f, name)
		require.ErrorIs(t, err, c.err, name)
	}
	at := o.PlaceOf(row(1, "a", 1, 5))
	require.ErrorIs(t, o.Check(good(), &at, 3), ErrBefore, "the place itself is not after it")
	_, err := NewOrder(table, []By{{"age", false}})
	require.ErrorIs(t, err, ErrSchema)
}
