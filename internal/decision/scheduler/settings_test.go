package scheduler

import (
	"errors"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/shardmap"
)

// TestSettingsOutOfRangeAreNamedInError checks that New rejects settings that are out of range or contradict each
// other, and that the error names them.
func TestSettingsOutOfRangeAreNamedInError(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"CellsPerShard":     func(s *Settings) { s.CellsPerShard = 7 },
		"DrainGrace":        func(s *Settings) { s.DrainGrace = -1 },
		"Classes[0]":        func(s *Settings) { s.Classes[0].MinCompleteness = 1.2 },
		"RetryBudget.Spare": func(s *Settings) { s.RetryBudget.Spare = -1 },
	} {
		settings := testSettings()
		change(&settings)
		settings.Placement = shardmap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
		_, err := New(settings, 1, &harness{})
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestInvalidNumbersAreNamedInError checks the same for NaN, infinities and other invalid numbers. NaN and infinities
// would otherwise spread through all estimates.
func TestInvalidNumbersAreNamedInError(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"BrokerIndex":               func(s *Settings) { s.BrokerIndex = 2 },
		"SlowStart.Window":          func(s *Settings) { s.SlowStart.Window = math.NaN() },
		"TimerResolution":           func(s *Settings) { s.TimerResolution = math.Inf(1) },
		"SlowStart.InitialCapacity": func(s *Settings) { s.SlowStart.InitialCapacity = 1.5 },
		"Classes":                   func(s *Settings) { s.Classes[1].PriorityWeight = math.NaN() },
		"TenantRates":               func(s *Settings) { s.TenantRates = []float64{-1} },
		"Shards":                    func(s *Settings) { s.Shards = 0 },
	} {
		settings := testSettings()
		change(&settings)
		settings.Placement = shardmap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
		_, err := New(settings, 1, newHarness(t, testSettings()))
		if err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

// TestSettingErrorNamesSetting checks that callers can tell which setting is wrong, and that missing Actions have
// their own error.
func TestSettingErrorNamesSetting(t *testing.T) {
	settings := testSettings()
	settings.Placement = shardmap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
	settings.TenantRates = []float64{1, -1}
	_, err := New(settings, 1, nil)
	assert.ErrorIs(t, err, ErrNoActions)
	_, err = New(settings, 1, &harness{})
	var settingErr *SettingError
	assert.True(t, errors.As(err, &settingErr), "error %v", err)
	assert.Equal(t, &SettingError{Setting: "TenantRates[1]", Problem: "-1 is negative or not finite"}, settingErr)
	assert.EqualError(t, err, "TenantRates[1]: -1 is negative or not finite")
}
