package pageread

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

// A shard whose answer cannot be combined is missing, with the reason, and the others are answered.
func TestMalformedAnswerIsReported(t *testing.T) {
	for name, f := range map[string]func(b *merge.Batch){
		"out of order":  func(b *merge.Batch) { slices.Reverse(b.Rows) },
		"other columns": func(b *merge.Batch) { b.Schema = merge.Schema{{Name: "premium", Kind: merge.Int, Currency: "USD"}} },
		"null":          func(b *merge.Batch) { b.Rows[0].Values = []merge.Value{{}} },
		"too many":      func(b *merge.Batch) { b.Rows = append(b.Rows, slices.Repeat(b.Rows, 40)...) },
	} {
		s := newTable(t, testPremiums()...)
		s.changeAnswer = func(a *rows.Answer) {
			if a.Batch.Buckets == cheapestShard {
				f(&a.Batch)
			}
		}
		one := s.readPage(6, nil)
		require.Len(t, one.Report.Missing, 1, name)
		require.Equal(t, completeness.Malformed, one.Report.Missing[0].Reason, name)
		require.NotEmpty(t, one.Report.Missing[0].Detail, name)
		for _, r := range one.Rows {
			require.False(t, r.Bucket == 4 || r.Bucket == 5, "%s: none of its rows", name)
		}
	}
}

// Shards with another schema than most of the weight do not count towards the floor, also if they answer first.
func TestFloorCountsOnlyWhatCanBeMerged(t *testing.T) {
	for floor, hopeless := range map[float64]bool{0.6: false, 0.7: true} {
		q := newTable(t).query(3)
		q.Plan.Floor = floor
		var parts []Part
		for i := range 5 {
			parts = append(parts, Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 0.2})
		}
		r, asks := New(0, q, parts, nil)
		for i, a := range asks {
			schema := testSchema
			if i < 2 { // those that come first are not right for that
				schema = merge.Schema{{Name: "premium", Kind: merge.Int, Currency: "USD"}}
			}
			require.NoError(t, r.RecordAnswer(1, &rows.Answer{Batch: merge.Batch{Buckets: a.Buckets, Version: 1, Schema: schema}}, a.Rows))
		}
		st := r.Step(2)
		require.Equal(t, hopeless, st.Hopeless)
		if !hopeless {
			require.Len(t, st.Result.Report.Missing, 2)
			require.ErrorContains(t, fmt.Errorf("%s", st.Result.Report.Missing[0].Detail), merge.ErrCurrencyMismatch.Error())
		}
	}
}
