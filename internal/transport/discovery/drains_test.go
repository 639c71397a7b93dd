package discovery

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/scheduler"
)

// TestRememberedDrain: which records end a drain that was reported at revision 43.
func TestRememberedDrain(t *testing.T) {
	const startedAtUnixMs = 1000.0
	for name, c := range map[string]struct {
		phase           string
		startedAtUnixMs float64
		revision        uint64
		want            scheduler.ReplicaState
	}{
		"ready in an older list":          {"SERVING", startedAtUnixMs, 40, scheduler.Draining},
		"ready in a list of its revision": {"SERVING", startedAtUnixMs, 43, scheduler.Draining},
		"ready in a newer list":           {"SERVING", startedAtUnixMs, 44, scheduler.Ready},
		"restarted, in an older list":     {"SERVING", startedAtUnixMs + 1, 40, scheduler.Ready},
		"removed in an older list":        {"DELETED", startedAtUnixMs, 40, scheduler.Removed},
	} {
		t.Run(name, func(t *testing.T) {
			drains := rememberedDrains{}
			record := EndpointRecord{ID: "s-1", Phase: "DRAINING", StartedAtUnixMs: startedAtUnixMs}
			assert.Equal(t, scheduler.Draining, drains.resolveState(record, 43))
			record.Phase, record.StartedAtUnixMs = c.phase, c.startedAtUnixMs
			assert.Equal(t, c.want, drains.resolveState(record, c.revision))
			if c.want == scheduler.Ready {
				assert.Empty(t, drains, "the drain is no longer in force")
			}
		})
	}
}

// TestDrainKeepsHighestRevision: an older list that repeats the drain does not lower the drain's revision.
func TestDrainKeepsHighestRevision(t *testing.T) {
	drains := rememberedDrains{}
	record := EndpointRecord{ID: "s-1", Phase: "DRAINING"}
	drains.resolveState(record, 43)
	drains.resolveState(record, 40)
	record.Phase = "SERVING"
	assert.Equal(t, scheduler.Draining, drains.resolveState(record, 42))
	assert.Equal(t, scheduler.Ready, drains.resolveState(record, 44))
}

// TestRememberedDrainsAreBounded: beyond the maximum, the drain with the lowest revision is forgotten, and among
// equal revisions the one with the lowest ID.
func TestRememberedDrainsAreBounded(t *testing.T) {
	drains := rememberedDrains{}
	for i := range maxRememberedDrains {
		drains.remember(fmt.Sprintf("s-%04d", i), drain{revision: uint64(100 + i/2)})
	}
	assert.Len(t, drains, maxRememberedDrains)
	drains.remember("s-next", drain{revision: 9000})
	assert.Len(t, drains, maxRememberedDrains)
	assert.NotContains(t, drains, "s-0000")
	assert.Contains(t, drains, "s-0001")
	drains.remember("s-late", drain{revision: 1})
	assert.NotContains(t, drains, "s-late", "the new drain has the lowest revision")
}
