// Package fleet starts several processes of the program against the lab's world on loopback and breaks what is
// between them: the way to a zone, the agents that lists are pushed to, nodes, and the processes themselves. The
// rules are counted at the nodes and clients, over all processes.
package fleet

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/experiments"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/product"
	"ternstage/internal/lab/result"
	"ternstage/internal/lab/world"
)

var built string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ternstage-fleet")
	if err != nil {
		panic(err)
	}
	if built, err = product.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// zones is the experiment of that name without its drawn troubles, and with a script in their place.
func zones(t *testing.T, seconds float64, script ...exp.Event) *exp.Experiment {
	t.Helper()
	vars := map[string]string{"seconds": fmt.Sprint(seconds), "rate": "90", "pause": "1"}
	for _, kind := range []string{"stand", "slow", "vanish", "down", "drain", "broker", "zone_cut", "silent"} {
		vars[kind] = "0"
	}
	e, err := exp.LoadText("zones.jsonnet", experiments.Zones, vars)
	require.NoError(t, err)
	e.Script = script
	return e
}

// play plays it against real processes.
func play(t *testing.T, e *exp.Experiment, fault world.Fault) result.Summary {
	t.Helper()
	w := world.New(e, 7)
	w.Fault = fault
	s, err := w.RunLive(t.Context(), world.LiveOptions{Binary: built, Dir: t.TempDir()}, nil)
	require.NoError(t, err)
	t.Logf("%d taken, %d answered, %d refused, %d failed, worth %.3f", s.Received, s.Answered, s.Rejected, s.Failed, s.EarnedShare)
	return s
}

// TestZoneCutOff: a zone is cut off from the others under load, both ways, without a word; then it is back.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	s := play(t, zones(t, 9, exp.Event{At: 1500, For: 4000, Kind: "zone_cut", On: 1}), world.Fault{})
	assert.Zero(t, s.Violations(), s.Notes)
	assert.Greater(t, s.EarnedShare, 0.8, "two replicas of three are within reach of two brokers")
}

// TestAgentsSilent: all agents fall silent for 10 s while a node drains and is replaced and another restarts.
func TestAgentsSilent(t *testing.T) {
	t.Parallel()
	s := play(t, zones(t, 16, exp.Event{At: 1000, For: 10000, Kind: "silent", On: 0},
		exp.Event{At: 1000, For: 10000, Kind: "silent", On: 1}, exp.Event{At: 1000, For: 10000, Kind: "silent", On: 2},
		exp.Event{At: 1500, For: 2000, Kind: "drain", On: 3}, exp.Event{At: 4000, For: 2000, Kind: "down", On: 7}),
		world.Fault{})
	assert.Zero(t, s.Violations(), s.Notes)
	assert.Greater(t, s.EarnedShare, 0.85, "the last list serves")
}

// TestLateDrainIsSeen plants a fault: agents hide that nodes drain, and the checker must find what that breaks.
func TestLateDrainIsSeen(t *testing.T) {
	t.Parallel()
	s := play(t, zones(t, 7, exp.Event{At: 500, For: 500, Kind: "drain", On: 4}), world.Fault{IgnoreDrain: true})
	assert.Positive(t, s.SentAfterDrain)
}

// TestBackWithAnOldList: a broker is killed outright and comes back with the list it first began with, of which a node
// has drained and gone and another has started anew, cold.
func TestBackWithAnOldList(t *testing.T) {
	t.Parallel()
	s := play(t, zones(t, 14, exp.Event{At: 500, For: 4000, Kind: "drain", On: 4},
		exp.Event{At: 2000, For: 1500, Kind: "down", On: 8}, exp.Event{At: 7000, For: 1500, Kind: "broker", On: 0},
		exp.Event{At: 10000, For: 500, Kind: "broker", On: 2}), world.Fault{})
	assert.Zero(t, s.Violations(), s.Notes)
	assert.Greater(t, s.EarnedShare, 0.85)
}
