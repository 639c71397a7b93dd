package simwire

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

func TestParseSettingsNamesTheSetting(t *testing.T) {
	for _, c := range []struct{ name, text, want string }{
		{"truncated JSON", `{"categories": [`, "settings: unexpected end of JSON input"},
		{"an unknown effect", `{"categories": [{"effect": "odd"}]}`,
			`settings: categories[0].effect "odd" is unknown`},
		{"another unknown effect", `{"categories": [{"effect": "read_like"}, {}]}`,
			`settings: categories[1].effect "" is unknown`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := ParseSettings([]byte(c.text))
			assert.EqualError(t, err, c.want)
		})
	}
	_, err := ParseSettings([]byte(`{"domain": {"slices": "8"}}`))
	assert.ErrorContains(t, err, "domain.slices")
}

func TestParseSettings(t *testing.T) {
	settings, err := ParseSettings([]byte(`{"unheard_of": 1, "discovery": "on_request", "categories":
		[{"aim_ms": 10, "deadline_ms": 20, "effect": "non_idempotent"}], "domain": {"min_share": [0.5]}}`))
	require.NoError(t, err)
	assert.True(t, settings.PollEndpoints)
	require.Len(t, settings.Classes, 1)
	assert.Equal(t, scheduler.Class{LatencyObjective: 10, Deadline: 20, Idempotency: scheduler.NonIdempotent,
		MinCompleteness: 0.5, CompletenessTarget: 1}, settings.Classes[0])
}

func TestEachSettingIsMapped(t *testing.T) {
	settings, err := ParseSettings([]byte(`{
		"balancers": 1, "me": 2, "zone": 3, "discovery": "pushed", "over_share_worth": 4.5, "resolution_ms": 5.5,
		"categories": [
			{"aim_ms": 6, "deadline_ms": 7, "dedup_window_ms": 8, "effect": "read_like", "late_worth": 9, "worth": 10},
			{"effect": "idempotency_key"}, {"effect": "non_idempotent"}],
		"customers": [{"allowance_per_s": 11}, {"allowance_per_s": 12}],
		"domain": {"call_cost_ms": 13, "complete_from": [0.14, 0.15], "fetch_parts": [16, 17],
			"incomplete_worth": [0.18, 0.19], "min_share": [0.20, 0.21], "per_call": 22, "sets": 23, "slices": 24,
			"width": 25},
		"invariants": {"ask_within_ms": 26, "budget_share": 27, "spare_attempts": 28, "extra_window_ms": 29,
			"cold_from": 30, "warm_within_ms": 31, "drain_grace_ms": 32, "fall_multiple": 33, "fall_ms": 34,
			"grace_to_answer_ms": 35},
		"limits": {"cancel": true, "parallel_tries": true, "try_limit": 36, "retry_after": true,
			"max_retry_after_ms": 37}}`))
	require.NoError(t, err)
	assert.Equal(t, scheduler.Settings{
		Classes: []scheduler.Class{
			{LatencyObjective: 6, Deadline: 7, PriorityWeight: 10, LateFactor: 9, Idempotency: scheduler.Idempotent,
				DedupWindow: 8, MinCompleteness: 0.20, CompletenessTarget: 0.14, PartialFactor: 0.18, SecondStepParts: 16},
			{Idempotency: scheduler.IdempotentWithKey, MinCompleteness: 0.21, CompletenessTarget: 0.15,
				PartialFactor: 0.19, SecondStepParts: 17},
			{Idempotency: scheduler.NonIdempotent, MinCompleteness: 1, CompletenessTarget: 1},
		},
		TenantRates:     []float64{11, 12},
		OverQuotaFactor: 4.5,
		BrokerIndex:     2,
		BrokerCount:     1,
		LocalZone:       3,
		TimerResolution: 5.5,
		Shards:          24,
		Cells:           23,
		CellsPerShard:   25,
		Placement:       shardmap.NewRingPlacement(24, 23, 25),
		MaxPartsPerCall: 22,
		CallOverhead:    13,
		MaxStaleness:    26,
		CanCancel:       true,
		AllowHedging:    true,
		MaxAttempts:     36,
		MaxRetryAfter:   37,
		DrainGrace:      32,
		SlowStart: scheduler.SlowStartSettings{InitialCapacity: 30, Duration: 31, WorkMultiple: 33,
			Window: 34},
		RetryBudget: scheduler.RetryBudgetSettings{Spare: 28, Ratio: 27, Window: 29},
		AnswerGrace: 35,
	}, settings)
}

func TestMaxRetryAfterIsZeroUnlessEnabled(t *testing.T) {
	settings, err := ParseSettings([]byte(`{"limits": {"max_retry_after_ms": 37}}`))
	require.NoError(t, err)
	assert.Zero(t, settings.MaxRetryAfter)
	assert.Equal(t, scheduler.Settings{Placement: shardmap.NewRingPlacement(0, 0, 0)}, settings)
}
