package scheduler

import (
	"math"
	"strings"
	"testing"

	"ternstage/internal/slicemap"
)

func TestSettingsOutOfRangeAreNamed(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"CellsPerShard":     func(s *Settings) { s.CellsPerShard = 7 },
		"DrainGrace":        func(s *Settings) { s.DrainGrace = -1 },
		"Classes[0]":        func(s *Settings) { s.Classes[0].MinCompleteness = 1.2 },
		"RetryBudget.Spare": func(s *Settings) { s.RetryBudget.Spare = -1 },
	} {
		s := settings()
		change(&s)
		s.Placement = slicemap.NewRingPlacement(s.Shards, s.Cells, s.CellsPerShard)
		if _, err := New(s, 1, &rig{}); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func TestSettingsThatAreNoNumbersAreNamed(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"BrokerIndex":               func(s *Settings) { s.BrokerIndex = 2 },
		"SlowStart.Window":          func(s *Settings) { s.SlowStart.Window = math.NaN() },
		"TimerResolution":           func(s *Settings) { s.TimerResolution = math.Inf(1) },
		"SlowStart.InitialCapacity": func(s *Settings) { s.SlowStart.InitialCapacity = 1.5 },
		"Classes":                   func(s *Settings) { s.Classes[1].PriorityWeight = math.NaN() },
		"TenantRates":               func(s *Settings) { s.TenantRates = []float64{-1} },
		"Shards":                    func(s *Settings) { s.Shards = 0 },
	} {
		s := settings()
		s.Classes = append([]Class(nil), s.Classes...)
		spoil(&s)
		s.Placement = slicemap.NewRingPlacement(s.Shards, s.Cells, s.CellsPerShard)
		if _, err := New(s, 1, newRig(t, settings())); err == nil || !strings.Contains(err.Error(), name) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}
