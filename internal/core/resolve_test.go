package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// Shards that the client named at an older epoch are translated. If that is impossible, Submit returns an error with
// the epoch in use. A request with shards of a newer epoch than the broker's is rejected with Retry-After, and the
// broker requests the newer map.
func TestSubmitShardsOfOtherEpochs(t *testing.T) {
	broker := newFixture(t)
	broker.splitFirstShard()
	client := broker.submit(idempotentClass, 1, 0, 1)
	require.Len(t, broker.inFlight, 3, "one of the two parts has two segments")
	broker.succeedAll()
	require.True(t, broker.finalAnswer(client).Complete)

	request := &Request{ID: "old", Class: idempotentClass, Deadline: broker.now + 2000, Epoch: 1,
		Client: &recordingClient{}, Parts: []Part{{Shard: 77, Weight: 1}}}
	err := broker.core.Submit(request)
	var stale *StaleEpochError
	require.ErrorAs(t, err, &stale)
	require.ErrorIs(t, err, ErrInvalidRequest)
	require.EqualValues(t, 2, stale.Epoch)

	request = &Request{ID: "twice", Class: idempotentClass, Deadline: broker.now + 2000, Client: &recordingClient{},
		Parts: []Part{{Shard: 0, Weight: 0.5}, {Shard: 9, Weight: 0.5}}}
	require.ErrorIs(t, broker.core.Submit(request), ErrInvalidRequest, "names of two epochs for the same buckets")

	client = broker.submit(idempotentClass, 9, 77)
	answer := broker.finalAnswer(client)
	require.Equal(t, Rejected, answer.Kind)
	require.Equal(t, behindRetryAfterMs, answer.RetryAfter)
	require.Equal(t, []uint64{9}, broker.newerEpochs)
}

func TestSubmitRejectsBeforeFirstMap(t *testing.T) {
	broker := newFixture(t)
	shardMap := shardmap.New(shardmap.Options{})
	settings := scheduler.Settings{
		BrokerCount: 1, TimerResolution: 5, Shards: 8, Cells: 4, CellsPerShard: 2, Placement: shardMap,
		MaxRetryAfter: 1000,
		Classes: []scheduler.Class{{LatencyObjective: 1, Deadline: 2, PriorityWeight: 2, MinCompleteness: 1,
			CompletenessTarget: 1}},
	}
	var err error
	broker.core, err = New(settings, 7, Options{Clock: broker, Log: broker, ShardMap: shardMap})
	require.NoError(t, err)
	broker.core.Attach(broker, broker)
	answer := broker.finalAnswer(broker.submit(0, 0, 3))
	require.Equal(t, Rejected, answer.Kind, "rejected at once, with Retry-After")
	require.Positive(t, answer.RetryAfter)
}
