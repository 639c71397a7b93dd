package scheduler

import (
	"fmt"
	"math"
)

// Idempotency says what a repeated part of a class does.
type Idempotency uint8

// The idempotency of a class.
const (
	Idempotent        Idempotency = iota // may be repeated freely
	IdempotentWithKey                    // backends drop repeats within Class.DedupWindow
	NonIdempotent                        // must not run twice
)

// Class is one kind of query and its service levels.
type Class struct {
	// LatencyObjective is the time in ms within which an answer has its full worth.
	LatencyObjective float64
	// Deadline is the time in ms that a client waits for an answer at most, over all of its retries.
	Deadline float64
	// PriorityWeight is the worth of a complete answer in time, relative to other classes.
	PriorityWeight float64
	// LateFactor is the fraction of PriorityWeight that an answer after the objective is worth.
	LateFactor float64
	// Idempotency says whether parts may be repeated.
	Idempotency Idempotency
	// DedupWindow is the time in ms after the first attempt in which backends drop repeats by key.
	DedupWindow float64
	// MinCompleteness is the least share of a query's weight with which it may be answered.
	MinCompleteness float64
	// CompletenessTarget is the share of a query's weight that makes an answer complete.
	CompletenessTarget float64
	// PartialFactor is the fraction of PriorityWeight that a partial answer is worth.
	PartialFactor float64
	// SecondStepParts is the number of parts that follow the first answer; 0 for classes with one step.
	SecondStepParts int
}

// SlowStartSettings limit the work that a lately started replica is sent. Zero values switch slow start off.
type SlowStartSettings struct {
	// InitialCapacity is the share of its full capacity with which a replica starts, in [0, 1].
	InitialCapacity float64
	// Duration is the time in ms until a started replica has its full capacity.
	Duration float64
	// WorkMultiple is how many times its present capacity a replica may be sent within Window, by all brokers.
	WorkMultiple float64
	// Window is the length in ms of the sliding window in which that work is counted.
	Window float64
}

// RetryBudgetSettings bound the attempts beyond the first of each part.
type RetryBudgetSettings struct {
	// Spare is the number of retries allowed within Window whatever the traffic.
	Spare float64
	// Ratio is the number of further retries for each query or part taken within Window.
	Ratio float64
	// Window is the length of the sliding window in ms; 0 for no budget.
	Window float64
}

// Settings is what the deployment states. Zero values switch off what depends on them.
type Settings struct {
	// Classes are the kinds of queries; at least one.
	Classes []Class
	// TenantRates are the quotas of the tenants in queries per second, over all brokers.
	TenantRates []float64
	// OverQuotaFactor is the fraction of its priority that a query beyond its tenant's quota keeps.
	OverQuotaFactor float64

	// BrokerIndex is this broker's place among the brokers of the fleet, from 0.
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
	// Placement says which replicas hold a shard.
	Placement Placement

	// MaxPartsPerCall is the number of parts that one call may carry; 0 means 1.
	MaxPartsPerCall int
	// CallOverhead is the work in ms that a call costs beside its parts.
	CallOverhead float64

	// PollEndpoints says that the endpoint list comes only when it is polled or watched.
	PollEndpoints bool
	// MaxStaleness is the time in ms after its last poll at which this broker is held to know of every change.
	MaxStaleness float64

	// CanCancel says that an attempt in flight can be cancelled.
	CanCancel bool
	// AllowHedging says that two attempts of a part may be in flight at once.
	AllowHedging bool
	// MaxAttempts is the number of attempts for one part; 0 for no limit.
	MaxAttempts int
	// MaxRetryAfter is the longest time in ms after which a rejected client is asked to come back.
	MaxRetryAfter float64

	// DrainGrace is the time in ms after a drain was reported in which a replica may still be sent parts.
	DrainGrace float64
	// SlowStart limits what warming replicas are sent.
	SlowStart SlowStartSettings
	// RetryBudget limits attempts beyond the first.
	RetryBudget RetryBudgetSettings
	// AnswerGrace is the time in ms after its deadline in which a final answer still counts. The scheduler does not
	// use it: its answers leave before the deadline.
	AnswerGrace float64
}

// Placement says which replicas hold a shard. It may change between events; PlacementChanged reports that.
type Placement interface {
	// Group is the number, from 0, of the set of replicas that holds a shard, or -1 if there is no such shard.
	// Shards of one group have the same replicas.
	Group(shard int) int
	// Cells are the cells whose replicas hold the shards of a group, where placement goes by cells.
	Cells(group int) []int
	// Replicas are the replicas that hold the shards of a group, where placement names them one by one.
	Replicas(group int) []uint32
}

// SettingError says which setting is out of its range.
type SettingError struct {
	// Setting names the field of Settings, or the fields that do not fit each other; a list has the index of its entry.
	Setting string
	// Problem says what is wrong with its value.
	Problem string
}

// Error names the setting and the problem.
func (e *SettingError) Error() string { return e.Setting + ": " + e.Problem }

func settingError(setting, problem string, values ...any) error {
	return &SettingError{Setting: setting, Problem: fmt.Sprintf(problem, values...)}
}

// validate names the first setting that is out of its range, in a SettingError; NaN and infinities are.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return settingError("Classes", "missing")
	}
	if s.Placement == nil {
		return settingError("Placement", "missing")
	}
	if s.Shards < 1 || s.Cells < 1 || s.CellsPerShard < 1 || s.CellsPerShard > s.Cells {
		return settingError("Shards, Cells or CellsPerShard", "%d, %d, %d are out of range", s.Shards, s.Cells,
			s.CellsPerShard)
	}
	if s.BrokerCount < 0 || s.BrokerIndex < 0 || s.BrokerIndex >= max(s.BrokerCount, 1) {
		return settingError("BrokerIndex", "%d is not below BrokerCount, %d", s.BrokerIndex, s.BrokerCount)
	}
	if err := s.validateNumbers(); err != nil {
		return err
	}
	for i, rate := range s.TenantRates {
		if !isFiniteAndNotNegative(rate) {
			return settingError(fmt.Sprintf("TenantRates[%d]", i), "%v is out of range", rate)
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
			return settingError(setting.name, "%v is out of range", setting.value)
		}
	}
	if s.SlowStart.InitialCapacity > 1 {
		return settingError("SlowStart.InitialCapacity", "%v is out of range", s.SlowStart.InitialCapacity)
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
