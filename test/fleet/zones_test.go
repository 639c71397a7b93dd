// Package fleet runs several processes of the program against the simulated clients and backends of the lab on
// loopback. It injects faults: links to a zone, the agents that lists are pushed to, backends, and the processes
// themselves. The rules are checked at the backends and clients, over all processes.
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

var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ternstage-fleet")
	if err != nil {
		panic(err)
	}
	if programPath, err = product.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// zonesExperiment returns the experiment zones.jsonnet with a script in place of its random faults.
func zonesExperiment(t *testing.T, seconds float64, script ...exp.Event) *exp.Experiment {
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

// playLive runs an experiment against real processes.
func playLive(t *testing.T, e *exp.Experiment, fault world.Fault) result.Summary {
	t.Helper()
	w := world.New(e, 7)
	w.Fault = fault
	s, err := w.RunLive(t.Context(), world.LiveOptions{Binary: programPath, Dir: t.TempDir()}, nil)
	require.NoError(t, err)
	t.Logf("%d accepted, %d answered, %d rejected, %d failed, weight %.3f", s.Received, s.Answered, s.Rejected, s.Failed,
		s.EarnedShare)
	return s
}

// TestZoneCutOff cuts all links between a zone and the others under load, silently and in both directions, and
// restores them.
func TestZoneCutOff(t *testing.T) {
	t.Parallel()
	s := playLive(t, zonesExperiment(t, 9, exp.Event{At: 1500, For: 4000, Kind: "zone_cut", On: 1}), world.Fault{})
	assert.Zero(t, s.Violations(), s.Notes)
	assert.Greater(t, s.EarnedShare, 0.8, "two brokers still reach two of three replicas")
}

// TestUnresponsiveAgents has all agents stop answering for 10 s while a backend drains and is replaced and another
// restarts.
func TestUnresponsiveAgents(t *testing.T) {
	t.Parallel()
	s := playLive(t, zonesExperiment(t, 16, exp.Event{At: 1000, For: 10000, Kind: "silent", On: 0},
		exp.Event{At: 1000, For: 10000, Kind: "silent", On: 1}, exp.Event{At: 1000, For: 10000, Kind: "silent", On: 2},
		exp.Event{At: 1500, For: 2000, Kind: "drain", On: 3}, exp.Event{At: 4000, For: 2000, Kind: "down", On: 7}),
		world.Fault{})
	assert.Zero(t, s.Violations(), s.Notes)
	assert.Greater(t, s.EarnedShare, 0.85, "the last list is not in use")
}

// TestLateDrainIsDetected plants a fault: agents hide that backends drain. The checker must find the attempts that
// break the rule.
func TestLateDrainIsDetected(t *testing.T) {
	t.Parallel()
	s := playLive(t, zonesExperiment(t, 7, exp.Event{At: 500, For: 500, Kind: "drain", On: 4}),
		world.Fault{IgnoreDrain: true})
	assert.Positive(t, s.SentAfterDrain)
}

// TestBrokerRestartsWithOldList kills a broker and restarts it with its first list, of which one backend has drained
// and been removed and another has restarted and warms up.
func TestBrokerRestartsWithOldList(t *testing.T) {
	t.Parallel()
	s := playLive(t, zonesExperiment(t, 14, exp.Event{At: 500, For: 4000, Kind: "drain", On: 4},
		exp.Event{At: 2000, For: 1500, Kind: "down", On: 8}, exp.Event{At: 7000, For: 1500, Kind: "broker", On: 0},
		exp.Event{At: 10000, For: 500, Kind: "broker", On: 2}), world.Fault{})
	assert.Zero(t, s.Violations(), s.Notes)
	assert.Greater(t, s.EarnedShare, 0.85)
}
