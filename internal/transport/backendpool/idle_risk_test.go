package backendpool

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestIdleSlot(t *testing.T) {
	for idleMs, want := range map[float64]int{0: 0, 1.9: 0, 2: 1, 7.9: 2, 8: firstIdleSlot, 32768: 15, 1e9: 15} {
		assert.Equal(t, want, idleSlot(idleMs), "%v ms", idleMs)
	}
}

func TestIdleRiskNeedsSeveralLosses(t *testing.T) {
	var risk idleRisk
	const idleMs = 1000.0
	risk.record(0, idleMs, true)
	assert.True(t, risk.allows(0, idleMs, maxLossRate), "one loss")
	assert.False(t, risk.allows(0, idleMs, maxNonIdempotentLossRate), "one loss")
	risk.record(0, idleMs, true)
	risk.record(0, idleMs, true)
	assert.False(t, risk.allows(0, idleMs, maxLossRate), "three losses")
	assert.False(t, risk.allows(0, 10*idleMs, maxLossRate), "longer idle times are rejected too")
	assert.True(t, risk.allows(0, idleMs/10, maxLossRate), "shorter idle times are allowed")
	assert.True(t, risk.allows(2*lossHalfLifeMs, idleMs, maxLossRate), "the loss rate decays")
}

func TestIdleRiskFallsWithSuccess(t *testing.T) {
	var risk idleRisk
	const idleMs = 1000.0
	for range 3 {
		risk.record(0, idleMs, true)
	}
	for range 2 {
		risk.record(0, idleMs, false)
	}
	assert.True(t, risk.allows(0, idleMs, maxLossRate))
}

func TestIdleRiskIgnoresConnectionsInUse(t *testing.T) {
	var risk idleRisk
	for range 10 {
		risk.record(0, 7, true)
	}
	assert.Equal(t, idleRisk{}, risk)
}

func TestIdleRiskOfNonIdempotentParts(t *testing.T) {
	var risk idleRisk
	assert.True(t, risk.allowsNonIdempotent(0, maxNonIdempotentIdleMs))
	assert.False(t, risk.allowsNonIdempotent(0, maxNonIdempotentIdleMs+1), "idle for too long")
	risk.record(0, 100, true)
	assert.False(t, risk.allowsNonIdempotent(0, 100), "one loss is enough")
}
