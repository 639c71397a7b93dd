package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLedger(t *testing.T) {
	l := New(3)
	l.Cold(30)
	l.Step(100)
	l.Cold(10)
	l.Refused(1)
	l.Step(100)
	assert.Equal(t, 0.2, l.All.Share())
	assert.Equal(t, 0.1, l.Short.Share(), "only the step with a refusal")
	l.Answered(0)
	l.Failed(0)
	assert.InDelta(t, 0.5, l.Fairness(1), 1e-9, "one of two brokers has all answers")
	assert.Zero(t, l.Fairness(5), "none has so many")
	assert.InDelta(t, 1, Jain([]float64{0.3, 0.3, 0.3}), 1e-9)
	l.Sent(2)
	l.Sent(2)
	l.Busy(2)
	n, share := l.BusyParts()
	assert.Equal(t, 1, n)
	assert.Equal(t, 0.5, share)
}
