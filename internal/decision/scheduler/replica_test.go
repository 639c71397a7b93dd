package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestDrainIsTimedFromFirstReport guarantees that the grace of a drain runs from the first report that a replica
// leaves, that being ready ends the drain, and that a replica first seen leaving has no grace left.
func TestDrainIsTimedFromFirstReport(t *testing.T) {
	drain := newReplica(Endpoint{}).drain
	wants := []float64{math.Inf(-1), math.Inf(1), 200, 200, math.Inf(1), 500}
	for i, state := range []ReplicaState{Draining, Ready, Draining, Removed, Ready, Removed} {
		drain.update(float64(i)*100, state)
		assert.Equal(t, wants[i], drain.informedAt, "update %d", i)
	}
}
