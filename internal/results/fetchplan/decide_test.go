package fetchplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

// planOfTen plans a page over ten shards with a minimum completeness of 0.7. The first ones answered after 20 ms.
func planOfTen(t *testing.T, answered int) (*Plan, []shardmap.Range) {
	t.Helper()
	var shards []shardmap.Range
	var weights []float64
	for i := range 10 {
		shards = append(shards, shardmap.Range{Start: i, End: i + 1})
		weights = append(weights, 0.1)
	}
	options := newOptions(10)
	options.MinCompleteness = 0.7
	plan, _ := New(0, options, shards, weights)
	for i := range answered {
		require.True(t, plan.RecordAnswer(20, shards[i], 1, false))
	}
	return plan, shards
}

func TestNoShardIsAbandonedBelowMinCompleteness(t *testing.T) {
	plan, shards := planOfTen(t, 6)
	decision := plan.Decide(5000)
	require.False(t, decision.Done, "six of ten do not reach 0.7")
	require.Equal(t, 20_000-20.0, decision.WakeAtMs)
	require.True(t, plan.RecordAnswer(5000, shards[6], 1, false), "the answer of the seventh is late but wanted")
	decision = plan.Decide(5001)
	require.True(t, decision.Done && !decision.CannotAnswer)
	require.Equal(t, shards[7:], decision.Abandoned)
	require.False(t, plan.RecordAnswer(5002, shards[7], 1, false), "the answer of an abandoned shard is not wanted")
}

func TestLateShardsAreAbandonedAboveMinCompleteness(t *testing.T) {
	plan, _ := planOfTen(t, 7)
	require.Equal(t, Decision{WakeAtMs: 60}, plan.Decide(30), "three times the median of 20 ms")
	require.Equal(t, Decision{WakeAtMs: 120}, plan.Decide(60))
	require.True(t, plan.Decide(120).Done)
}

func TestCannotAnswerBelowMinCompleteness(t *testing.T) {
	plan, _ := planOfTen(t, 6)
	require.Equal(t, Decision{Done: true, CannotAnswer: true}, plan.Decide(19_980), "at the deadline")
	plan, shards := planOfTen(t, 6)
	for _, buckets := range shards[6:] {
		plan.RecordFailure(buckets)
	}
	require.Equal(t, Decision{Done: true, CannotAnswer: true}, plan.Decide(21), "as soon as the minimum cannot be reached")
}

func TestDoneOnceAllHaveAnswered(t *testing.T) {
	plan, _ := planOfTen(t, 10)
	require.Equal(t, Decision{Done: true}, plan.Decide(21))
}
