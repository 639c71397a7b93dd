package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestLedger(t *testing.T) {
	l := New(3)
	l.Cold("node-1", 2, 30)
	l.May("node-1", 100)
	l.Step(0, 100)
	l.Cold("node-1", 0, 10)
	l.May("node-1", 100)
	l.Refused(1)
	l.Step(100, 100)
	assert.Equal(t, 0.2, l.All.Share())
	assert.Equal(t, 0.1, l.Short.Share(), "only the step with a refusal")
	l.Answered(0)
	l.Failed(0)
	assert.InDelta(t, 0.5, l.Fairness(1), 1e-9, "one of two brokers has all answers")
	assert.Zero(t, l.Fairness(5), "none has so many")
	assert.InDelta(t, 1, Jain([]float64{0.3, 0.3, 0.3}), 1e-9)
	l.Sent(2)
	l.Sent(2)
	l.Busy(2, "node-1")
	n, share := l.BusyParts()
	assert.Equal(t, 1, n)
	assert.Equal(t, 0.5, share)
	n1 := l.Nodes["node-1"]
	assert.Equal(t, Cold{40, 200}, n1.Cold)
	assert.Len(t, n1.Users, 2)
	assert.Equal(t, 1, n1.Refused)
}

// TestMomentsAreBounded: a long run keeps its moments in the room it has, and loses no count.
func TestMomentsAreBounded(t *testing.T) {
	l := New(1)
	const steps = 5*mostMoments + 3
	for i := range steps {
		l.Sent(0)
		l.Cold("a", 0, 2)
		l.May("a", 4)
		l.Step(float64(i)*100, 100)
	}
	assert.LessOrEqual(t, len(l.Moments), mostMoments)
	sum := Moment{}
	for i, m := range l.Moments {
		sum = sum.and(m)
		if i > 0 {
			last := l.Moments[i-1]
			assert.Equal(t, last.At+last.For, m.At, "no gap")
		}
	}
	assert.Equal(t, steps, sum.Sent)
	assert.Equal(t, Cold{2 * steps, 4 * steps}, sum.Cold)
	assert.Equal(t, l.All, sum.Cold)
}
