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
		r := NewPoller(Options{Pushed: true, DrainGrace: grace})
		r.SetCached(41, 3)
		now, last := 0.0, -1e9
		for range 200 {
			c := r.BeginCall(now)
			assert.GreaterOrEqual(t, now-last, r.Period()-1e-9, "calls are no closer than the period")
			assert.LessOrEqual(t, c.Wait, c.Timeout/2)
			last = now
			var n Next
			end := now
			switch rapid.IntRange(0, 4).Draw(t, "agent") {
			case 0: // silent
				end = now + c.Timeout
				n = r.HandleFailure(end, true)
			case 1: // refuses
				n = r.HandleFailure(end, false)
			default:
				end = now + rapid.Float64Range(0, c.Wait).Draw(t, "took")
				n = r.HandleResponse(end, Response{Complete: rapid.Bool().Draw(t, "whole"),
					Revision: rapid.Uint64Range(0, 60).Draw(t, "revision"), EndpointCount: rapid.IntRange(0, 4).Draw(t, "members")})
			}
			assert.False(t, n.NotifyFailure, "the module is not asked when")
			assert.LessOrEqual(t, n.At-now, grace/2, "news since this call is read by then")
			now = max(n.At, end)
		}
	})
}

// TestBehind: a change that builds on a list that is not ours is not taken, and the whole list comes next.
func TestBehind(t *testing.T) {
	for _, pushed := range []bool{false, true} {
		r := NewPoller(Options{Pushed: pushed, DrainGrace: 1000})
		assert.True(t, r.BeginCall(0).FullList)
		assert.True(t, r.HandleResponse(1, Response{Complete: true, Revision: 41, EndpointCount: 3}).Apply)
		assert.False(t, r.BeginCall(100).FullList)
		n := r.HandleResponse(101, Response{Revision: 7, EndpointCount: 1})
		assert.False(t, n.Apply)
		assert.ErrorIs(t, n.Err, ErrStaleRevision)
		assert.True(t, r.BeginCall(n.At).FullList)
		assert.True(t, r.HandleResponse(n.At, Response{Complete: true, Revision: 7, EndpointCount: 3}).Apply, "it counts anew")
		c := r.BeginCall(n.At + 200)
		assert.False(t, c.FullList)
		assert.EqualValues(t, 7, c.SinceRevision)
	}
}

// TestEmpty: an empty whole list does not undo one with members, and is asked for again at a pace.
func TestEmpty(t *testing.T) {
	r := NewPoller(Options{Pushed: true, DrainGrace: 1000})
	r.SetCached(0, 12)
	r.BeginCall(0)
	n := r.HandleResponse(0.2, Response{Complete: true})
	assert.False(t, n.Apply)
	assert.ErrorIs(t, n.Err, ErrEmptyList)
	assert.GreaterOrEqual(t, n.At, 100.0)
	assert.EqualValues(t, 1, r.Stats().Empty)
	first := NewPoller(Options{Pushed: true, DrainGrace: 1000})
	first.BeginCall(0)
	assert.True(t, first.HandleResponse(0, Response{Complete: true}).Apply, "nothing is known yet")
}

// TestAskedDoesNotSpin: a watch goes on at once after news, and after silence as long as it did wait; one that
// answers nothing at once is called no more than 50 times a second.
func TestAskedDoesNotSpin(t *testing.T) {
	r := NewPoller(Options{DrainGrace: 1000})
	r.SetCached(41, 3)
	now, calls := 0.0, 0
	for ; now < 1000; calls++ {
		r.BeginCall(now)
		now = max(r.HandleResponse(now+0.1, Response{Revision: 41}).At, now+0.1)
	}
	assert.LessOrEqual(t, calls, 51)
	r.BeginCall(now)
	assert.Equal(t, now+0.1, r.HandleResponse(now+0.1, Response{Revision: 42, EndpointCount: 1}).At)
	assert.True(t, r.HandleFailure(now, false).NotifyFailure, "a service that refuses is the module's to pace")
}

// TestSilentWatchIsOpenedAnew: where the list is asked for, a watch that fell silent is opened anew by each of any
// number of brokers so soon that what it misses is read within half of the grace after it counts as told, 6 s after
// the silence; and all of them together call less often than their watches do.
func TestSilentWatchIsOpenedAnew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.IntRange(1, 1000).Draw(t, "peers")
		r := NewPoller(Options{DrainGrace: 1000, BrokerIndex: rapid.IntRange(0, peers-1).Draw(t, "me"), BrokerCount: peers})
		r.SetCached(41, 3)
		now := 0.0
		for range 5 {
			c := r.BeginCall(now)
			assert.False(t, c.FullList)
			n := r.HandleFailure(now+c.Timeout, true)
			assert.False(t, n.NotifyFailure, "it does not wait for the module's delay")
			assert.LessOrEqual(t, n.At, now+6000+500-1000, "a second is left for the answer")
			assert.Greater(t, n.At-now, c.Wait, "no more often than the watch itself")
			now = n.At
		}
	})
}
