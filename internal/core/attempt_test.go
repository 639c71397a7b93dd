package core

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
)

// An attempt must begin within 400 ms of its decision, or within 0.4 of the drain grace if that is less. A retry of a
// part that may have run must also begin within the deduplication window of its class, counted from the first
// attempt.
func TestStartBy(t *testing.T) {
	const dedupWindow = 250.0
	class := scheduler.Class{Idempotency: scheduler.IdempotentWithKey, DedupWindow: dedupWindow}
	for drainGrace, window := range map[float64]float64{0: 400, 2000: 400, 800: 320} {
		t.Run(fmt.Sprint("drain grace ", drainGrace), func(t *testing.T) {
			broker := newFixedFixture(t, drainGrace, true, class)
			broker.submitOne()
			first := broker.attempts[0]
			assert.Equal(t, broker.now+window, first.StartBy)
			broker.core.AttemptEnded(first, scheduler.Failed, nil)
			broker.runFor(30)
			require.Len(t, broker.attempts, 2)
			assert.Equal(t, first.sentAt+dedupWindow, broker.attempts[1].StartBy)

			broker = newFixedFixture(t, drainGrace, true, class)
			broker.submitOne()
			broker.core.AttemptEnded(broker.attempts[0], scheduler.Rejected, nil) // the attempt never ran
			broker.runFor(100)
			require.Len(t, broker.attempts, 2)
			assert.Equal(t, broker.attempts[1].sentAt+window, broker.attempts[1].StartBy,
				"the start window of a first attempt applies")
		})
	}
}
