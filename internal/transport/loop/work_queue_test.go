package loop

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"
)

// spin keeps the loop's thread busy for a time in ms.
func spin(l *Loop, durationMs float64) {
	for end := l.ReadClock() + durationMs; l.ReadClock() < end; {
		continue
	}
}

// TestQueuedWorkLetsRoundsRun checks that a queue that is never empty delays neither rounds nor events by more than one
// piece of work: each piece takes longer than the budget of a wake-up.
func TestQueuedWorkLetsRoundsRun(t *testing.T) {
	l := newLoop(t)
	const pieces = 20
	ran, rounds, events := 0, 0, 0
	local, remote := connectedPair(t)
	require.NoError(t, l.Add(local, unix.EPOLLIN, handlerFunc(func(uint32) {
		var buffer [1]byte
		_, _ = unix.Read(local, buffer[:])
		events++
	})))
	var work func()
	work = func() {
		spin(l, 1.1*queuedWorkBudgetMs)
		ran++
		writeByte(t, remote)
		l.Enqueue(1, work)
	}
	for range 100 {
		l.Enqueue(1, work)
	}
	l.OnWakeUpEnd(func() {
		rounds++
		assert.LessOrEqual(t, ran, rounds, "at most one piece of work before each round")
		assert.GreaterOrEqual(t, events, ran-1, "events of earlier wake-ups have been handled")
		if ran == pieces {
			l.Stop()
		}
	})
	require.NoError(t, l.Run())
}

const (
	largeBytes = 60_000
	smallBytes = 300
)

// runOne runs the next piece of work, which counts as taking durationMs.
func (q *workQueue) runOne(durationMs float64) {
	class, run := q.take()
	run()
	class.usedMs += durationMs
}

// TestSmallWorkWaitsForOneLargePiece checks that work with a small input runs after one piece with a large input at
// most, however many of these were queued before and however long each of them takes.
func TestSmallWorkWaitsForOneLargePiece(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &workQueue{}
		largeMs := rapid.Float64Range(0.1, 1000).Draw(t, "duration of a large piece")
		for range 200 {
			q.add(largeBytes, func() {})
		}
		for range rapid.IntRange(0, 10).Draw(t, "small pieces") {
			for range rapid.IntRange(0, 5).Draw(t, "large pieces before") {
				q.runOne(largeMs)
			}
			largeBefore, ran := 0, false
			q.add(smallBytes, func() { ran = true })
			for !ran {
				class, run := q.take()
				run()
				if !ran {
					class.usedMs += largeMs
					largeBefore++
					continue
				}
				class.usedMs += largeMs / 1000
			}
			assert.LessOrEqual(t, largeBefore, 1)
		}
	})
}

// TestSizeClassesShareTime checks that each size class gets its share of the time while others always have work too:
// no class is starved, whether its pieces are short or long.
func TestSizeClassesShareTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := &workQueue{}
		pieceMs := rapid.SliceOfN(rapid.Float64Range(0.01, 20), 2, sizeClasses).Draw(t, "duration of a piece")
		usedMs := make([]float64, len(pieceMs))
		ran := 0
		for i := range pieceMs {
			var work func()
			work = func() {
				ran = i
				q.add(1<<i>>1, work)
			}
			q.add(1<<i>>1, work)
		}
		for range 500 {
			class, run := q.take()
			run()
			class.usedMs += pieceMs[ran]
			usedMs[ran] += pieceMs[ran]
		}
		assert.LessOrEqual(t, slices.Max(usedMs)-slices.Min(usedMs), slices.Max(pieceMs)+1e-6)
	})
}

// TestIdleClassGetsNoCredit checks that a class that had no work for long does not hold up the others when it has much.
func TestIdleClassGetsNoCredit(t *testing.T) {
	q := &workQueue{}
	largeRuns := 0
	for range 200 {
		q.add(largeBytes, func() { largeRuns++ })
	}
	for range 100 {
		q.runOne(1)
	}
	for range 100 {
		q.add(smallBytes, func() {})
	}
	for range 20 {
		q.runOne(1)
	}
	assert.InDelta(t, 110, largeRuns, 1)
}

// TestWorkOfOneSizeKeepsItsOrder checks that a class runs its work in the order of the calls, also beyond the last
// size class.
func TestWorkOfOneSizeKeepsItsOrder(t *testing.T) {
	q := &workQueue{}
	var order []int
	for i := range 10 {
		q.add(1<<(sizeClasses+i), func() { order = append(order, i) })
	}
	for q.length > 0 {
		q.runOne(1)
	}
	assert.IsIncreasing(t, order)
	assert.Len(t, order, 10)
}
