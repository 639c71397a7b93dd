package fetchplan

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

func TestNoShardIsAbandonedBelowTheFloor(t *testing.T) {
	ten := func(floor float64, in int) (*Plan, []shardmap.Range) {
		var d []shardmap.Range
		var w []float64
		for i := range 10 {
			d, w = append(d, shardmap.Range{Start: i, End: i + 1}), append(w, 0.1)
		}
		o := newOptions(10)
		o.Floor = floor
		p, _ := New(0, o, d, w)
		for i := range in {
			require.True(t, p.RecordAnswer(20, d[i], 1, false))
		}
		return p, d
	}
	p, d := ten(0.7, 6)
	v := p.Decide(5000)
	require.False(t, v.Done, "six of ten are not seven")
	require.Equal(t, 20_000-20.0, v.WakeAt)
	require.True(t, p.RecordAnswer(5000, d[6], 1, false), "the seventh comes late, and is wanted")
	v = p.Decide(5001)
	require.True(t, v.Done && !v.Hopeless)
	require.Equal(t, d[7:], v.Abandoned)
	require.False(t, p.RecordAnswer(5002, d[7], 1, false), "what was dropped does not come back into the page")

	p, _ = ten(0.7, 7)
	v = p.Decide(30)
	require.Equal(t, Decision{WakeAt: 60}, v, "three times the median of 20 ms")
	v = p.Decide(60)
	require.Equal(t, Decision{WakeAt: 120}, v)
	require.True(t, p.Decide(120).Done)

	p, _ = ten(0.7, 6)
	require.Equal(t, Decision{Done: true, Hopeless: true}, p.Decide(19_980), "at the end there is no answer below the floor")
	p, d = ten(0.7, 6)
	for _, x := range d[6:] {
		p.RecordFailure(x)
	}
	require.Equal(t, Decision{Done: true, Hopeless: true}, p.Decide(21), "it is known at once")
	p, _ = ten(0.7, 10)
	require.Equal(t, Decision{Done: true}, p.Decide(21))
}
