package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDrainIsTimedFromFirstReport checks that the grace of a drain begins with the first report that the replica is
// draining or removed, that a ready state ends the drain, and that a new replica that is not ready has no grace left.
func TestDrainIsTimedFromFirstReport(t *testing.T) {
	drain := newReplica(Endpoint{}).drain
	wants := []float64{math.Inf(-1), math.Inf(1), 200, 200, math.Inf(1), 500}
	for i, state := range []ReplicaState{Draining, Ready, Draining, Removed, Ready, Removed} {
		drain.update(float64(i)*100, state)
		assert.Equal(t, wants[i], drain.informedAt, "update %d", i)
	}
}
