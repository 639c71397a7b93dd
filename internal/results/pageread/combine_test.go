package pageread

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
	"ternstage/internal/results/rows"
)

var dollarSchema = merge.Schema{{Name: "premium", Kind: merge.Int, Currency: "USD"}}

// TestMalformedAnswerIsReported checks that a shard whose answer cannot be merged is missing, with a reason, and that
// the page has the rows of the others.
func TestMalformedAnswerIsReported(t *testing.T) {
	for name, change := range map[string]func(*merge.Batch){
		"out of order":  func(batch *merge.Batch) { slices.Reverse(batch.Rows) },
		"other schema":  func(batch *merge.Batch) { batch.Schema = dollarSchema },
		"null":          func(batch *merge.Batch) { batch.Rows[0].Values = []merge.Value{{}} },
		"too many rows": func(batch *merge.Batch) { batch.Rows = append(batch.Rows, slices.Repeat(batch.Rows, 40)...) },
	} {
		t.Run(name, func(t *testing.T) {
			table := newTable(t, testPremiums()...)
			table.changeAnswer = func(answer *rows.Answer) {
				if answer.Batch.Buckets == cheapestShard {
					change(&answer.Batch)
				}
			}
			page := table.readPage(6, nil)
			require.Len(t, page.Report.Missing, 1)
			require.Equal(t, completeness.Malformed, page.Report.Missing[0].Reason)
			require.NotEmpty(t, page.Report.Missing[0].Detail)
			for _, row := range page.Rows {
				require.False(t, row.Bucket == 4 || row.Bucket == 5, "no row of the malformed answer is on the page")
			}
		})
	}
}

// TestMinCompletenessCountsOnlyMergeableAnswers checks that shards that do not have the common schema do not count
// towards the minimum completeness, even if they answer first.
func TestMinCompletenessCountsOnlyMergeableAnswers(t *testing.T) {
	for minCompleteness, cannotAnswer := range map[float64]bool{0.6: false, 0.7: true} {
		query := newTable(t).query(3)
		query.Plan.MinCompleteness = minCompleteness
		var parts []Part
		for i := range 5 {
			parts = append(parts, Part{Buckets: shardmap.Range{Start: i, End: i + 1}, Weight: 0.2})
		}
		reader, requests := New(0, query, parts, nil)
		for i, request := range requests {
			schema := testSchema
			if i < 2 {
				schema = dollarSchema
			}
			answer := &rows.Answer{Batch: merge.Batch{Buckets: request.Buckets, Version: 1, Schema: schema}}
			require.NoError(t, reader.RecordAnswer(1, answer, request.Rows))
		}
		step := reader.Step(2)
		require.Equal(t, cannotAnswer, step.CannotAnswer)
		if !cannotAnswer {
			require.Len(t, step.Result.Report.Missing, 2)
			require.Contains(t, step.Result.Report.Missing[0].Detail, merge.ErrCurrencyMismatch.Error())
		}
	}
}
