package scheduler

import (
	"math"
	"strings"
	"testing"

	"ternstage/internal/slicemap"
)

func TestSettingsOutOfRangeAreNamedInError(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"CellsPerShard":     func(settings *Settings) { settings.CellsPerShard = 7 },
		"DrainGrace":        func(settings *Settings) { settings.DrainGrace = -1 },
		"Classes[0]":        func(settings *Settings) { settings.Classes[0].MinCompleteness = 1.2 },
		"RetryBudget.Spare": func(settings *Settings) { settings.RetryBudget.Spare = -1 },
	} {
		settings := testSettings()
		change(&settings)
		settings.Placement = slicemap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
		if _, err := New(settings, 1, &harness{}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestInvalidNumbersAreNamedInError(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"BrokerIndex":               func(settings *Settings) { settings.BrokerIndex = 2 },
		"SlowStart.Window":          func(settings *Settings) { settings.SlowStart.Window = math.NaN() },
		"TimerResolution":           func(settings *Settings) { settings.TimerResolution = math.Inf(1) },
		"SlowStart.InitialCapacity": func(settings *Settings) { settings.SlowStart.InitialCapacity = 1.5 },
		"Classes":                   func(settings *Settings) { settings.Classes[1].PriorityWeight = math.NaN() },
		"TenantRates":               func(settings *Settings) { settings.TenantRates = []float64{-1} },
		"Shards":                    func(settings *Settings) { settings.Shards = 0 },
	} {
		settings := testSettings()
		settings.Classes = append([]Class(nil), settings.Classes...)
		spoil(&settings)
		settings.Placement = slicemap.NewRingPlacement(settings.Shards, settings.Cells, settings.CellsPerShard)
		if _, err := New(settings, 1, newHarness(t, testSettings())); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
