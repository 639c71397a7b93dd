package membership

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestPushedIsReadInTime: whatever the agent does, from the moment at which it has news and speaks, the news is
// read within the half of the drain grace that the module leaves, and calls keep their distance.
func TestPushedIsReadInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := rapid.Float64Range(200, 5000).Draw(t, "grace")
		r := NewReader(Options{Pushed: true, DrainGrace: grace})
		r.Known(41, 3)
		now, last := 0.0, -1e9
		for range 200 {
			c := r.Begin(now)
			assert.GreaterOrEqual(t, now-last, r.Period()-1e-9, "calls are no closer than the period")
			assert.LessOrEqual(t, c.Wait, c.Patience/2)
			last = now
			var n Next
			end := now
			switch rapid.IntRange(0, 4).Draw(t, "agent") {
			case 0: // silent
				end = now + c.Patience
				n = r.Failed(end, true)
			case 1: // refuses
				n = r.Failed(end, false)
			default:
				end = now + rapid.Float64Range(0, c.Wait).Draw(t, "took")
				n = r.Answered(end, Answer{Complete: rapid.Bool().Draw(t, "whole"),
					Revision: rapid.Uint64Range(0, 60).Draw(t, "revision"), Members: rapid.IntRange(0, 4).Draw(t, "members")})
			}
			assert.False(t, n.Tell, "the module is not asked when")
			assert.LessOrEqual(t, n.At-now, grace/2, "news since this call is read by then")
			now = max(n.At, end)
		}
	})
}

// TestBehind: a change that builds on a list that is not ours is not taken, and the whole list comes next.
func TestBehind(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		r := NewReader(Options{Pushed: pushed, DrainGrace: 1000})
		assert.True(t, r.Begin(0).Whole)
		assert.True(t, r.Answered(1, Answer{Complete: true, Revision: 41, Members: 3}).Take)
		assert.False(t, r.Begin(100).Whole)
		n := r.Answered(101, Answer{Revision: 7, Members: 1})
		assert.False(t, n.Take)
		assert.ErrorIs(t, n.Err, ErrBehind)
		assert.True(t, r.Begin(n.At).Whole)
		assert.True(t, r.Answered(n.At, Answer{Complete: true, Revision: 7, Members: 3}).Take, "it counts anew")
		c := r.Begin(n.At + 200)
		assert.False(t, c.Whole)
		assert.EqualValues(t, 7, c.Index)
	}
}

// TestEmpty: an empty whole list does not undo one with members, and is asked for again at a pace.
func TestEmpty(t *testing.T) {
	r := NewReader(Options{Pushed: true, DrainGrace: 1000})
	r.Known(0, 12)
	r.Begin(0)
	n := r.Answered(0.2, Answer{Complete: true})
	assert.False(t, n.Take)
	assert.ErrorIs(t, n.Err, ErrEmpty)
	assert.GreaterOrEqual(t, n.At, 100.0)
	assert.EqualValues(t, 1, r.Stats().Empty)
	first := NewReader(Options{Pushed: true, DrainGrace: 1000})
	first.Begin(0)
	assert.True(t, first.Answered(0, Answer{Complete: true}).Take, "nothing is known yet")
}

// TestAskedDoesNotSpin: a watch goes on at once after news, and after silence as long as it did wait; one that
// answers nothing at once is called no more than 50 times a second.
func TestAskedDoesNotSpin(t *testing.T) {
	r := NewReader(Options{DrainGrace: 1000})
	r.Known(41, 3)
	now, calls := 0.0, 0
	for ; now < 1000; calls++ {
		r.Begin(now)
		now = max(r.Answered(now+0.1, Answer{Revision: 41}).At, now+0.1)
	}
	assert.LessOrEqual(t, calls, 51)
	r.Begin(now)
	assert.Equal(t, now+0.1, r.Answered(now+0.1, Answer{Revision: 42, Members: 1}).At)
	assert.True(t, r.Failed(now, false).Tell, "a service that refuses is the module's to pace")
}

// TestSilentWatchIsOpenedAnew: where the list is asked for, a watch that fell silent is opened anew by each of any
// number of brokers so soon that what it misses is read within half of the grace after it counts as told, 6 s after
// the silence; and all of them together call less often than their watches do.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(1, 1000).Draw(t, "peers")
		r := NewReader(Options{DrainGrace: 1000, Me: rapid.IntRange(0, peers-1).Draw(t, "me"), Peers: peers})
		r.Known(41, 3)
		now := 0.0
		for range 5 {
			c := r.Begin(now)
			assert.False(t, c.Whole)
			n := r.Failed(now+c.Patience, true)
			assert.False(t, n.Tell, "it does not wait for the module's delay")
			assert.LessOrEqual(t, n.At, now+6000+500-1000, "a second is left for the answer")
			assert.Greater(t, n.At-now, c.Wait, "no more often than the watch itself")
			now = n.At
		}
	})
}
