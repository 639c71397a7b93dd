package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/transport/simwire"
)

func TestInstancesDecideIndependently(t *testing.T) {
	both := play(t, day(3, 5))
	for _, id := range []uint32{3, 5} {
		alone := play(t, day(id))[id]
		require.GreaterOrEqual(t, len(alone), 20)
		assert.Equal(t, alone, both[id], "instance %d beside another", id)
	}
}

func TestEventsWithoutASchedulerAreIgnored(t *testing.T) {
	var f frame
	f.selectInstance(1)
	f.add(simwire.EventTimer, nil)
	f.add(simwire.EventEndpoints, func(record []byte) { record[1] = 9 }) // a form that is unknown
	assert.Empty(t, play(t, f.bytes(1, 1000)))
}

func TestTeardownVoidsTheActionsOfItsBatch(t *testing.T) {
	var first, second frame
	first.create(1)
	first.query(1, 10, 2000)
	second.selectInstance(1)
	second.succeed(11) // both parts are answered: the query would be, too
	second.succeed(12)
	with := play(t, append(first.bytes(1, 1000), second.bytes(2, 1010)...))[1]
	second.add(simwire.EventTeardown, nil)
	second.create(1)
	without := play(t, append(first.bytes(1, 1000), second.bytes(2, 1010)...))[1]
	assert.Equal(t, 1, countActions(with, simwire.ActionAnswer), "without a teardown")
	assert.Zero(t, countActions(without, simwire.ActionAnswer), "with a teardown")
}
