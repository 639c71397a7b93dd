package simwire

import (
	"encoding/json"
	"fmt"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// platformSettings mirrors the JSON of the platform's settings, as far as the scheduler uses them. Times are in
// milliseconds.
type platformSettings struct {
	BrokerCount       int                `json:"balancers"`
	BrokerIndex       int                `json:"me"`
	LocalZone         int                `json:"zone"`
	Classes           []platformClass    `json:"categories"`
	Tenants           []platformTenant   `json:"customers"`
	Discovery         string             `json:"discovery"`
	Domain            platformDomain     `json:"domain"`
	Invariants        platformInvariants `json:"invariants"`
	Limits            platformLimits     `json:"limits"`
	OverQuotaFactor   float64            `json:"over_share_worth"`
	TimerResolutionMs float64            `json:"resolution_ms"`
}

// platformClass mirrors the JSON of an element of "categories".
type platformClass struct {
	LatencyObjectiveMs float64 `json:"aim_ms"`
	DeadlineMs         float64 `json:"deadline_ms"`
	DedupWindowMs      float64 `json:"dedup_window_ms"`
	Idempotency        string  `json:"effect"`
	LateFactor         float64 `json:"late_worth"`
	PriorityWeight     float64 `json:"worth"`
}

// platformTenant mirrors the JSON of an element of "customers".
type platformTenant struct {
	QueriesPerSecond float64 `json:"allowance_per_s"`
}

// platformDomain mirrors the JSON of "domain". Its lists are indexed by class and may be shorter than the list of
// classes.
type platformDomain struct {
	CallOverheadMs      float64   `json:"call_cost_ms"`
	CompletenessTargets []float64 `json:"complete_from"`
	SecondStepParts     []int     `json:"fetch_parts"`
	PartialFactors      []float64 `json:"incomplete_worth"`
	MinCompleteness     []float64 `json:"min_share"`
	MaxPartsPerCall     int       `json:"per_call"`
	Cells               int       `json:"sets"`
	Shards              int       `json:"slices"`
	CellsPerShard       int       `json:"width"`
}

// platformInvariants mirrors the JSON of "invariants".
type platformInvariants struct {
	MaxStalenessMs           float64 `json:"ask_within_ms"`
	RetryBudgetRatio         float64 `json:"budget_share"`
	RetryBudgetSpare         float64 `json:"spare_attempts"`
	RetryBudgetWindowMs      float64 `json:"extra_window_ms"`
	SlowStartInitialCapacity float64 `json:"cold_from"`
	SlowStartMs              float64 `json:"warm_within_ms"`
	DrainGraceMs             float64 `json:"drain_grace_ms"`
	SlowStartWorkMultiple    float64 `json:"fall_multiple"`
	SlowStartWindowMs        float64 `json:"fall_ms"`
	AnswerGraceMs            float64 `json:"grace_to_answer_ms"`
}

// platformLimits mirrors the JSON of "limits".
type platformLimits struct {
	CanCancel       bool    `json:"cancel"`
	AllowHedging    bool    `json:"parallel_tries"`
	MaxAttempts     int     `json:"try_limit"`
	SendRetryAfter  bool    `json:"retry_after"`
	MaxRetryAfterMs float64 `json:"max_retry_after_ms"`
}

// pollDiscovery is the value of "discovery" if brokers have to poll for changes of the endpoint list.
const pollDiscovery = "on_request"

// idempotencies maps the values of "effect" to those of the scheduler.
var idempotencies = map[string]scheduler.Idempotency{
	"read_like":       scheduler.Idempotent,
	"idempotency_key": scheduler.IdempotentWithKey,
	"non_idempotent":  scheduler.NonIdempotent,
}

// ParseSettings decodes the platform's settings, which EventCreate and the configuration of a broker contain, and
// derives the placement from them. It ignores names that the scheduler does not use. It does not check ranges;
// scheduler.New does. Errors name the setting.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var decoded platformSettings
	if err := json.Unmarshal(text, &decoded); err != nil {
		return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
	}
	settings := decoded.schedulerSettings()
	for i := range decoded.Classes {
		class, err := decoded.class(i)
		if err != nil {
			return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, tenant := range decoded.Tenants {
		settings.TenantRates = append(settings.TenantRates, tenant.QueriesPerSecond)
	}
	return settings, nil
}

// schedulerSettings maps all settings except the classes and tenants.
func (s *platformSettings) schedulerSettings() scheduler.Settings {
	settings := scheduler.Settings{
		OverQuotaFactor: s.OverQuotaFactor,
		BrokerIndex:     s.BrokerIndex,
		BrokerCount:     s.BrokerCount,
		LocalZone:       s.LocalZone,
		TimerResolution: s.TimerResolutionMs,
		Shards:          s.Domain.Shards,
		Cells:           s.Domain.Cells,
		CellsPerShard:   s.Domain.CellsPerShard,
		Placement:       shardmap.NewRingPlacement(s.Domain.Shards, s.Domain.Cells, s.Domain.CellsPerShard),
		MaxPartsPerCall: s.Domain.MaxPartsPerCall,
		CallOverhead:    s.Domain.CallOverheadMs,
		PollEndpoints:   s.Discovery == pollDiscovery,
		MaxStaleness:    s.Invariants.MaxStalenessMs,
		CanCancel:       s.Limits.CanCancel,
		AllowHedging:    s.Limits.AllowHedging,
		MaxAttempts:     s.Limits.MaxAttempts,
		DrainGrace:      s.Invariants.DrainGraceMs,
		SlowStart: scheduler.SlowStartSettings{
			InitialCapacity: s.Invariants.SlowStartInitialCapacity,
			Duration:        s.Invariants.SlowStartMs,
			WorkMultiple:    s.Invariants.SlowStartWorkMultiple,
			Window:          s.Invariants.SlowStartWindowMs,
		},
		RetryBudget: scheduler.RetryBudgetSettings{
			Spare:  s.Invariants.RetryBudgetSpare,
			Ratio:  s.Invariants.RetryBudgetRatio,
			Window: s.Invariants.RetryBudgetWindowMs,
		},
		AnswerGrace: s.Invariants.AnswerGraceMs,
	}
	if s.Limits.SendRetryAfter {
		settings.MaxRetryAfter = s.Limits.MaxRetryAfterMs
	}
	return settings
}

// class maps the class at an index. If the domain's lists have no value for the class, an answer needs all of its
// weight, a partial answer does not count, and there is no second step.
func (s *platformSettings) class(index int) (scheduler.Class, error) {
	class := s.Classes[index]
	idempotency, ok := idempotencies[class.Idempotency]
	if !ok {
		return scheduler.Class{}, fmt.Errorf("categories[%d].effect %q is unknown", index, class.Idempotency)
	}
	return scheduler.Class{
		LatencyObjective:   class.LatencyObjectiveMs,
		Deadline:           class.DeadlineMs,
		PriorityWeight:     class.PriorityWeight,
		LateFactor:         class.LateFactor,
		Idempotency:        idempotency,
		DedupWindow:        class.DedupWindowMs,
		MinCompleteness:    elementOr(s.Domain.MinCompleteness, index, 1),
		CompletenessTarget: elementOr(s.Domain.CompletenessTargets, index, 1),
		PartialFactor:      elementOr(s.Domain.PartialFactors, index, 0),
		SecondStepParts:    elementOr(s.Domain.SecondStepParts, index, 0),
	}, nil
}

// elementOr returns the element at an index, or absent if the list is too short.
func elementOr[T any](list []T, index int, absent T) T {
	if index < len(list) {
		return list[index]
	}
	return absent
}
