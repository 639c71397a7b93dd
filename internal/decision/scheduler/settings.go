package scheduler

import (
	"fmt"
	"math"
)

// Idempotency says whether a part of a class may be executed more than once.
type Idempotency uint8

// The idempotency of a class.
const (
	Idempotent        Idempotency = iota // may be executed any number of times
	IdempotentWithKey                    // backends drop duplicates of a key within Class.DedupWindow
	NonIdempotent                        // must not be executed twice
)

// Class is one kind of query and its service levels.
type Class struct {
	// LatencyObjective is the time in ms within which an answer counts in full.
	LatencyObjective float64
	// Deadline is the longest time in ms that a client waits for an answer, over all of its retries.
	Deadline float64
	// PriorityWeight is what a complete answer within the objective counts, relative to other classes.
	PriorityWeight float64
	// LateFactor is the fraction of PriorityWeight that an answer after the objective counts.
	LateFactor float64
	// Idempotency says whether parts may be executed more than once.
	Idempotency Idempotency
	// DedupWindow is the time in ms after the first attempt in which backends drop duplicates by key.
	DedupWindow float64
	// MinCompleteness is the smallest share of a query's weight with which it may be answered.
	MinCompleteness float64
	// CompletenessTarget is the share of a query's weight that makes an answer complete.
	CompletenessTarget float64
	// PartialFactor is the fraction of PriorityWeight that a partial answer counts.
	PartialFactor float64
	// SecondStepParts is the number of parts that follow the first answer; 0 for classes with one step.
	SecondStepParts int
}

// SlowStartSettings limits the work that is sent to a replica that started lately. Zero values disable slow start.
type SlowStartSettings struct {
	// InitialCapacity is the share of its full capacity with which a replica starts, in [0, 1].
	InitialCapacity float64
	// Duration is the time in ms from the start of a replica until it has its full capacity.
	Duration float64
	// WorkMultiple is the multiple of a replica's present capacity that all brokers together may send it within Window.
	WorkMultiple float64
	// Window is the length in ms of the sliding window in which that work is counted.
	Window float64
}

// RetryBudgetSettings limits the attempts after the first of each part.
type RetryBudgetSettings struct {
	// Spare is the number of retries allowed within Window regardless of the traffic.
	Spare float64
	// Ratio is the number of additional retries for each query or part that arrived within Window.
	Ratio float64
	// Window is the length of the sliding window in ms; 0 means no budget.
	Window float64
}

// Settings describes the deployment. Zero values disable what depends on them.
type Settings struct {
	// Classes are the kinds of queries; at least one.
	Classes []Class
	// TenantRates are the quotas of the tenants in queries per second, over all brokers.
	TenantRates []float64
	// OverQuotaFactor is the fraction of its priority that a query beyond its tenant's quota keeps.
	OverQuotaFactor float64

	// BrokerIndex is this broker's number among the brokers of the fleet, from 0.
	BrokerIndex int
	// BrokerCount is the number of brokers; 0 means 1.
	BrokerCount int
	// LocalZone is the zone that this broker runs in.
	LocalZone int
	// TimerResolution is the shortest time in ms between scheduling rounds.
	TimerResolution float64

	// Shards is the number of shards of a fixed placement.
	Shards int
	// Cells is the number of cells of a fixed placement.
	Cells int
	// CellsPerShard is the number of cells that hold a shard of a fixed placement.
	CellsPerShard int
	// Placement maps shards to replicas.
	Placement Placement

	// MaxPartsPerCall is the number of parts that one call may carry; 0 means 1.
	MaxPartsPerCall int
	// CallOverhead is the work in ms that a call costs in addition to its parts.
	CallOverhead float64

	// PollEndpoints is set if the scheduler must poll or watch the endpoint list to receive it.
	PollEndpoints bool
	// MaxStaleness is the time in ms after its last poll at which this broker counts as notified of every change.
	MaxStaleness float64

	// CanCancel is set if attempts in flight can be cancelled.
	CanCancel bool
	// AllowHedging is set if two attempts of a part may be in flight at once.
	AllowHedging bool
	// MaxAttempts is the largest number of attempts of one part; 0 means no limit.
	MaxAttempts int
	// MaxRetryAfter is the longest time in ms that a rejected client is asked to wait before it retries.
	MaxRetryAfter float64

	// DrainGrace is the time in ms after a drain was reported in which a replica may still be sent parts.
	DrainGrace float64
	// SlowStart limits the work that is sent to replicas that are warming up.
	SlowStart SlowStartSettings
	// RetryBudget limits the attempts after the first of each part.
	RetryBudget RetryBudgetSettings
	// AnswerGrace is the time in ms after its deadline in which a final answer still counts. The scheduler does not
	// use it, as it answers before the deadline.
	AnswerGrace float64
}

// Placement maps shards to the replicas that hold them. It may change between events; PlacementChanged reports that.
type Placement interface {
	// Group returns the number, from 0, of the set of replicas that holds a shard, or -1 if there is no such shard.
	// The shards of a group have the same replicas.
	Group(shard int) int
	// Cells returns the cells whose replicas hold the shards of a group, if the placement names cells.
	Cells(group int) []int
	// Replicas returns the replicas that hold the shards of a group, if the placement names single replicas.
	Replicas(group int) []uint32
}

// SettingError reports a setting that is out of range.
type SettingError struct {
	// Setting is the name of the field of Settings, with the index of the entry if it is a list, or the names of
	// fields that contradict each other.
	Setting string
	// Problem says what is wrong with the value.
	Problem string
}

// Error returns the setting and the problem.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Problem }

func settingError(setting, problem string, values ...any) error {
	return &SettingError{Setting: setting, Problem: fmt.Sprintf(problem, values...)}
}

// validate returns a SettingError for the first setting that is out of range. NaN and infinities are out of range.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return settingError("Classes", "missing")
	}
	if s.Placement == nil {
		return settingError("Placement", "missing")
	}
	if s.Shards < 1 || s.Cells < 1 || s.CellsPerShard < 1 || s.CellsPerShard > s.Cells {
		return settingError("Shards, Cells or CellsPerShard",
			"%d, %d, %d: each must be at least 1, and CellsPerShard at most Cells", s.Shards, s.Cells, s.CellsPerShard)
	}
	if s.BrokerCount < 0 || s.BrokerIndex < 0 || s.BrokerIndex >= max(s.BrokerCount, 1) {
		return settingError("BrokerIndex", "%d is negative or not below BrokerCount, which is %d", s.BrokerIndex,
			s.BrokerCount)
	}
	if err := s.validateNumbers(); err != nil {
		return err
	}
	for i, rate := range s.TenantRates {
		if !isFiniteAndNotNegative(rate) {
			return settingError(fmt.Sprintf("TenantRates[%d]", i), "%v is negative or not finite", rate)
		}
	}
	for i := range s.Classes {
		if err := s.Classes[i].validate(i); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) validateNumbers() error {
	for _, setting := range []struct {
		name  string
		value float64
	}{
		{"OverQuotaFactor", s.OverQuotaFactor},
		{"TimerResolution", s.TimerResolution},
		{"CallOverhead", s.CallOverhead},
		{"MaxStaleness", s.MaxStaleness},
		{"MaxRetryAfter", s.MaxRetryAfter},
		{"DrainGrace", s.DrainGrace},
		{"SlowStart.InitialCapacity", s.SlowStart.InitialCapacity},
		{"SlowStart.Duration", s.SlowStart.Duration},
		{"SlowStart.WorkMultiple", s.SlowStart.WorkMultiple},
		{"SlowStart.Window", s.SlowStart.Window},
		{"RetryBudget.Spare", s.RetryBudget.Spare},
		{"RetryBudget.Ratio", s.RetryBudget.Ratio},
		{"RetryBudget.Window", s.RetryBudget.Window},
		{"AnswerGrace", s.AnswerGrace},
	} {
		if !isFiniteAndNotNegative(setting.value) {
			return settingError(setting.name, "%v is negative or not finite", setting.value)
		}
	}
	if s.SlowStart.InitialCapacity > 1 {
		return settingError("SlowStart.InitialCapacity", "%v is above 1", s.SlowStart.InitialCapacity)
	}
	return nil
}

func (c *Class) validate(index int) error {
	name := fmt.Sprintf("Classes[%d]", index)
	inRange := c.LatencyObjective > 0 && c.Deadline >= c.LatencyObjective && !math.IsInf(c.Deadline, 0) &&
		c.CompletenessTarget > 0 && c.CompletenessTarget <= 1 &&
		c.MinCompleteness >= 0 && c.MinCompleteness <= c.CompletenessTarget &&
		c.SecondStepParts >= 0
	if !inRange {
		return settingError(name, "LatencyObjective, Deadline, CompletenessTarget, MinCompleteness or "+
			"SecondStepParts out of range")
	}
	sum := c.PriorityWeight + c.LateFactor + c.PartialFactor + c.DedupWindow
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return settingError(name, "PriorityWeight, LateFactor, PartialFactor or DedupWindow is not finite")
	}
	return nil
}

func isFiniteAndNotNegative(value float64) bool { return value >= 0 && !math.IsInf(value, 0) }
