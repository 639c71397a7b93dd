package wire

import (
	"encoding/json"
	"fmt"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/slicemap"
)

type settingsText struct {
	Balancers  int `json:"balancers"`
	Me         int `json:"me"`
	Zone       int `json:"zone"`
	Categories []struct {
		Aim      float64 `json:"aim_ms"`
		Deadline float64 `json:"deadline_ms"`
		Window   float64 `json:"dedup_window_ms"`
		Effect   string  `json:"effect"`
		Late     float64 `json:"late_worth"`
		Worth    float64 `json:"worth"`
	} `json:"categories"`
	Customers []struct {
		Allowance float64 `json:"allowance_per_s"`
	} `json:"customers"`
	Discovery string `json:"discovery"`
	Domain    struct {
		CallCost float64   `json:"call_cost_ms"`
		Need     []float64 `json:"complete_from"`
		Fetch    []int     `json:"fetch_parts"`
		Partial  []float64 `json:"incomplete_worth"`
		Floor    []float64 `json:"min_share"`
		PerCall  int       `json:"per_call"`
		Sets     int       `json:"sets"`
		Slices   int       `json:"slices"`
		Width    int       `json:"width"`
	} `json:"domain"`
	Rules struct {
		AskWithin float64 `json:"ask_within_ms"`
		Share     float64 `json:"budget_share"`
		Spare     float64 `json:"spare_attempts"`
		Window    float64 `json:"extra_window_ms"`
		ColdFrom  float64 `json:"cold_from"`
		WarmIn    float64 `json:"warm_within_ms"`
		Grace     float64 `json:"drain_grace_ms"`
		FallTimes float64 `json:"fall_multiple"`
		FallFor   float64 `json:"fall_ms"`
		Answer    float64 `json:"grace_to_answer_ms"`
	} `json:"invariants"`
	Limits struct {
		Cancel     bool    `json:"cancel"`
		Parallel   bool    `json:"parallel_tries"`
		Tries      int     `json:"try_limit"`
		RetryAfter bool    `json:"retry_after"`
		MaxWait    float64 `json:"max_retry_after_ms"`
	} `json:"limits"`
	OverShare float64 `json:"over_share_worth"`
	Tick      float64 `json:"resolution_ms"`
}

// ParseSettings reads the settings text of a CREATE event. Unknown keys are ignored.
func ParseSettings(text []byte) (scheduler.Settings, error) {
	var t settingsText
	if err := json.Unmarshal(text, &t); err != nil {
		return scheduler.Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := scheduler.Settings{OverQuotaFactor: t.OverShare, BrokerIndex: t.Me, BrokerCount: t.Balancers, LocalZone: t.Zone, TimerResolution: t.Tick,
		Shards: t.Domain.Slices, Cells: t.Domain.Sets, CellsPerShard: t.Domain.Width, MaxPartsPerCall: t.Domain.PerCall,
		CallOverhead: t.Domain.CallCost, PollEndpoints: t.Discovery == "on_request", MaxStaleness: t.Rules.AskWithin,
		CanCancel: t.Limits.Cancel, AllowHedging: t.Limits.Parallel,
		MaxAttempts: t.Limits.Tries,
		DrainGrace:  t.Rules.Grace, SlowStart: scheduler.SlowStartSettings{InitialCapacity: t.Rules.ColdFrom,
			Duration: t.Rules.WarmIn, WorkMultiple: t.Rules.FallTimes, Window: t.Rules.FallFor},
		RetryBudget: scheduler.RetryBudgetSettings{Spare: t.Rules.Spare, Ratio: t.Rules.Share, Window: t.Rules.Window},
		AnswerGrace: t.Rules.Answer}
	s.Placement = slicemap.NewRingPlacement(s.Shards, s.Cells, s.CellsPerShard)
	if t.Limits.RetryAfter {
		s.MaxRetryAfter = t.Limits.MaxWait
	}
	for i, c := range t.Categories {
		k := scheduler.Class{LatencyObjective: c.Aim, Deadline: c.Deadline, PriorityWeight: c.Worth, LateFactor: c.Late, DedupWindow: c.Window,
			MinCompleteness: at(t.Domain.Floor, i, 1), CompletenessTarget: at(t.Domain.Need, i, 1), PartialFactor: at(t.Domain.Partial, i, 0),
			SecondStepParts: at(t.Domain.Fetch, i, 0)}
		switch c.Effect {
		case "read_like":
			k.Idempotency = scheduler.Idempotent
		case "idempotency_key":
			k.Idempotency = scheduler.IdempotentWithKey
		case "non_idempotent":
			k.Idempotency = scheduler.NonIdempotent
		default:
			return s, fmt.Errorf("settings: categories[%d].effect %q is unknown", i, c.Effect)
		}
		s.Classes = append(s.Classes, k)
	}
	for _, c := range t.Customers {
		s.TenantRates = append(s.TenantRates, c.Allowance)
	}
	return s, nil
}

func at[T any](list []T, i int, absent T) T {
	if i < len(list) {
		return list[i]
	}
	return absent
}
