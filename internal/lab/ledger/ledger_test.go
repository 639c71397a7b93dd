package ledger

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestTotalsSharesAndFairness checks the totals of a few recorded events.
func TestTotalsSharesAndFairness(t *testing.T) {
	l := New(3)
	l.WorkSent("node-1", 2, 30)
	l.WorkAllowed("node-1", 100)
	l.EndStep(0, 100)
	l.WorkSent("node-1", 0, 10)
	l.WorkAllowed("node-1", 100)
	l.RequestRejected(1)
	l.EndStep(100, 100)
	assert.Equal(t, 0.2, l.Total.Share())
	assert.Equal(t, 0.1, l.WhileRejecting.Share(), "only the step with a rejected request")
	l.RequestAnswered(0)
	l.RequestFailed(0)
	assert.InDelta(t, 0.5, l.Fairness(1), 1e-9, "one of two brokers has all answers")
	assert.Zero(t, l.Fairness(5), "no broker has that many requests")
	assert.InDelta(t, 1, Jain([]float64{0.3, 0.3, 0.3}), 1e-9)
	l.PartSent(2)
	l.PartSent(2)
	l.PartRejected(2, "node-1")
	count, share := l.RejectedParts()
	assert.Equal(t, 1, count)
	assert.Equal(t, 0.5, share)
	backend := l.Backends["node-1"]
	assert.Equal(t, Allowance{40, 200}, backend.Allowance)
	assert.Len(t, backend.Brokers, 2)
	assert.Equal(t, 1, backend.PartsRejected)
}

// TestIntervalsAreBounded: a long run must keep no more than maxIntervals intervals, without gaps, and merging
// them must not lose counts.
func TestIntervalsAreBounded(t *testing.T) {
	l := New(1)
	const steps = 5*maxIntervals + 3
	for i := range steps {
		l.PartSent(0)
		l.WorkSent("a", 0, 2)
		l.WorkAllowed("a", 4)
		l.EndStep(float64(i)*100, 100)
	}
	assert.LessOrEqual(t, len(l.Intervals), maxIntervals)
	sum := Interval{}
	for i, m := range l.Intervals {
		sum = sum.plus(m)
		if i > 0 {
			last := l.Intervals[i-1]
			assert.Equal(t, last.StartMs+last.DurationMs, m.StartMs, "no gap")
		}
	}
	assert.Equal(t, steps, sum.PartsSent)
	assert.Equal(t, Allowance{2 * steps, 4 * steps}, sum.Allowance)
	assert.Equal(t, l.Total, sum.Allowance)
}
