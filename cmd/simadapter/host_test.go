package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/transport/simwire"
)

func TestInstancesDecideIndependently(t *testing.T) {
	both := runAdapter(t, sampleInput(3, 5))
	for _, id := range []uint32{3, 5} {
		alone := runAdapter(t, sampleInput(id))[id]
		require.GreaterOrEqual(t, len(alone), 20)
		assert.Equal(t, alone, both[id], "instance %d, alone and beside another", id)
	}
}

func TestEventsWithoutASchedulerAreIgnored(t *testing.T) {
	var f frameBuilder
	f.selectInstance(1)
	f.add(simwire.EventTimer, nil)
	f.add(simwire.EventEndpoints, func(record []byte) { record[1] = 9 }) // an unknown kind of update
	assert.Empty(t, runAdapter(t, f.bytes(1, 1000)))
}

func TestTeardownDiscardsTheActionsOfItsBatch(t *testing.T) {
	var first, second frameBuilder
	first.create(1)
	first.query(1, 10, 2000)
	second.selectInstance(1)
	second.succeed(11) // both parts succeed, so the scheduler answers the query
	second.succeed(12)
	withoutTeardown := runAdapter(t, append(first.bytes(1, 1000), second.bytes(2, 1010)...))[1]
	second.add(simwire.EventTeardown, nil)
	second.create(1)
	withTeardown := runAdapter(t, append(first.bytes(1, 1000), second.bytes(2, 1010)...))[1]
	assert.Equal(t, 1, countActions(withoutTeardown, simwire.ActionAnswer), "without a teardown")
	assert.Zero(t, countActions(withTeardown, simwire.ActionAnswer), "with a teardown")
}
