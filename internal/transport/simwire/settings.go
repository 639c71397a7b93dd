package simwire

import (
	"encoding/json"
	"fmt"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// platformSettings mirrors the JSON of the settings that the scheduler uses. Times are in milliseconds.
type platformSettings struct {
	Balancers      int                `json:"balancers"`
	Me             int                `json:"me"`
	Zone           int                `json:"zone"`
	Categories     []platformCategory `json:"categories"`
	Customers      []platformCustomer `json:"customers"`
	Discovery      string             `json:"discovery"`
	Domain         platformDomain     `json:"domain"`
	Invariants     platformInvariants `json:"invariants"`
	Limits         platformLimits     `json:"limits"`
	OverShareWorth float64            `json:"over_share_worth"`
	ResolutionMs   float64            `json:"resolution_ms"`
}

type platformCategory struct {
	AimMs         float64 `json:"aim_ms"`
	DeadlineMs    float64 `json:"deadline_ms"`
	DedupWindowMs float64 `json:"dedup_window_ms"`
	Effect        string  `json:"effect"`
	LateWorth     float64 `json:"late_worth"`
	Worth         float64 `json:"worth"`
}

type platformCustomer struct {
	AllowancePerS float64 `json:"allowance_per_s"`
}

// platformDomain holds lists by the index of a category. They may be shorter than the list of categories.
type platformDomain struct {
	CallCostMs      float64   `json:"call_cost_ms"`
	CompleteFrom    []float64 `json:"complete_from"`
	FetchParts      []int     `json:"fetch_parts"`
	IncompleteWorth []float64 `json:"incomplete_worth"`
	MinShare        []float64 `json:"min_share"`
	PerCall         int       `json:"per_call"`
	Sets            int       `json:"sets"`
	Slices          int       `json:"slices"`
	Width           int       `json:"width"`
}

type platformInvariants struct {
	AskWithinMs     float64 `json:"ask_within_ms"`
	BudgetShare     float64 `json:"budget_share"`
	SpareAttempts   float64 `json:"spare_attempts"`
	ExtraWindowMs   float64 `json:"extra_window_ms"`
	ColdFrom        float64 `json:"cold_from"`
	WarmWithinMs    float64 `json:"warm_within_ms"`
	DrainGraceMs    float64 `json:"drain_grace_ms"`
	FallMultiple    float64 `json:"fall_multiple"`
	FallMs          float64 `json:"fall_ms"`
	GraceToAnswerMs float64 `json:"grace_to_answer_ms"`
}

type platformLimits struct {
	Cancel          bool    `json:"cancel"`
	ParallelTries   bool    `json:"parallel_tries"`
	TryLimit        int     `json:"try_limit"`
	RetryAfter      bool    `json:"retry_after"`
	MaxRetryAfterMs float64 `json:"max_retry_after_ms"`
}

// pollDiscovery is the value of "discovery" where changes of the endpoint list have to be asked for.
const pollDiscovery = "on_request"

// idempotencies maps the values of "effect".
var idempotencies = map[string]scheduler.Idempotency{
	"read_like":       scheduler.Idempotent,
	"idempotency_key": scheduler.IdempotentWithKey,
	"non_idempotent":  scheduler.NonIdempotent,
}

// ParseSettings parses the platform's settings, as EventCreate and the configuration of a broker contain them, with the
// placement that they state. It ignores names that the scheduler has no use for, and does not check ranges, which
// scheduler.New does. Errors name the setting.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var decoded platformSettings
	if err := json.Unmarshal(text, &decoded); err != nil {
		return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
	}
	settings := decoded.schedulerSettings()
	for i := range decoded.Categories {
		class, err := decoded.class(i)
		if err != nil {
			return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, customer := range decoded.Customers {
		settings.TenantRates = append(settings.TenantRates, customer.AllowancePerS)
	}
	return settings, nil
}

// schedulerSettings maps all but the classes and tenants.
func (s *platformSettings) schedulerSettings() scheduler.Settings {
	settings := scheduler.Settings{
		OverQuotaFactor: s.OverShareWorth,
		BrokerIndex:     s.Me,
		BrokerCount:     s.Balancers,
		LocalZone:       s.Zone,
		TimerResolution: s.ResolutionMs,
		Shards:          s.Domain.Slices,
		Cells:           s.Domain.Sets,
		CellsPerShard:   s.Domain.Width,
		Placement:       shardmap.NewRingPlacement(s.Domain.Slices, s.Domain.Sets, s.Domain.Width),
		MaxPartsPerCall: s.Domain.PerCall,
		CallOverhead:    s.Domain.CallCostMs,
		PollEndpoints:   s.Discovery == pollDiscovery,
		MaxStaleness:    s.Invariants.AskWithinMs,
		CanCancel:       s.Limits.Cancel,
		AllowHedging:    s.Limits.ParallelTries,
		MaxAttempts:     s.Limits.TryLimit,
		DrainGrace:      s.Invariants.DrainGraceMs,
		SlowStart: scheduler.SlowStartSettings{
			InitialCapacity: s.Invariants.ColdFrom,
			Duration:        s.Invariants.WarmWithinMs,
			WorkMultiple:    s.Invariants.FallMultiple,
			Window:          s.Invariants.FallMs,
		},
		RetryBudget: scheduler.RetryBudgetSettings{
			Spare:  s.Invariants.SpareAttempts,
			Ratio:  s.Invariants.BudgetShare,
			Window: s.Invariants.ExtraWindowMs,
		},
		AnswerGrace: s.Invariants.GraceToAnswerMs,
	}
	if s.Limits.RetryAfter {
		settings.MaxRetryAfter = s.Limits.MaxRetryAfterMs
	}
	return settings
}

// class maps the category at an index. What the domain does not state for it: an answer needs all of the weight, is
// worth nothing if it is partial, and there is no second step.
func (s *platformSettings) class(index int) (scheduler.Class, error) {
	category := s.Categories[index]
	idempotency, ok := idempotencies[category.Effect]
	if !ok {
		return scheduler.Class{}, fmt.Errorf("categories[%d].effect %q is unknown", index, category.Effect)
	}
	return scheduler.Class{
		LatencyObjective:   category.AimMs,
		Deadline:           category.DeadlineMs,
		PriorityWeight:     category.Worth,
		LateFactor:         category.LateWorth,
		Idempotency:        idempotency,
		DedupWindow:        category.DedupWindowMs,
		MinCompleteness:    elementOr(s.Domain.MinShare, index, 1),
		CompletenessTarget: elementOr(s.Domain.CompleteFrom, index, 1),
		PartialFactor:      elementOr(s.Domain.IncompleteWorth, index, 0),
		SecondStepParts:    elementOr(s.Domain.FetchParts, index, 0),
	}, nil
}

func elementOr[T any](list []T, index int, absent T) T {
	if index < len(list) {
		return list[index]
	}
	return absent
}
