package core

import (
	"fmt"
	"hash/fnv"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// fixture is a broker under resharding, with backends a to d. It is also the broker's transport, endpoint list, clock
// and log.
type fixture struct {
	t              *testing.T
	shardMap       *shardmap.Map
	core           *Core
	now            float64
	wakeAt         float64
	inFlight       []*Attempt // not ended, in the order in which they were sent
	attempts       []*Attempt // all that were sent, in the same order
	newerEpochs    []uint64   // reported to OnNewerMap
	logLines       []string
	submittedCount int
}

// Classes of the fixture.
const (
	nonIdempotentClass = 0
	idempotentClass    = 1
)

var backendNames = []string{"a", "b", "c", "d"}

func (f *fixture) Now() float64                  { return f.now }
func (f *fixture) WakeAt(at float64)             { f.wakeAt = min(f.wakeAt, at) }
func (f *fixture) SchedulerLine(text string)     { f.logLines = append(f.logLines, text) }
func (f *fixture) RequestEnded(*Request, Answer) {}
func (f *fixture) Watch()                        {}
func (f *fixture) Flush()                        {}
func (f *fixture) CloseIdleConnections(uint32)   {}
func (f *fixture) Withdraw(*Attempt) bool        { return false }

func (f *fixture) Send(attempt *Attempt) {
	f.inFlight = append(f.inFlight, attempt)
	f.attempts = append(f.attempts, attempt)
}

func (f *fixture) Abandon(attempt *Attempt) (neverRan bool) {
	f.remove(attempt)
	return false
}

func (f *fixture) remove(attempt *Attempt) {
	if i := slices.Index(f.inFlight, attempt); i >= 0 {
		f.inFlight = slices.Delete(f.inFlight, i, i+1)
	}
}

func replicaNumber(backend string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(backend))
	return hash.Sum32()
}

func backendOf(attempt *Attempt) string {
	for _, name := range backendNames {
		if replicaNumber(name) == attempt.Backend {
			return name
		}
	}
	return "?"
}

// newFixture makes a fixture with 8 shards of 10 buckets. Each shard is on two neighbours in the ring of backends.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, now: 1e6, wakeAt: 1e12}
	f.shardMap = shardmap.New(shardmap.Options{
		MaxVersions:   8,
		ReplicaNumber: func(backend string) (uint32, bool) { return replicaNumber(backend), true },
	})
	settings := scheduler.Settings{
		BrokerCount: 1, TimerResolution: 5, Shards: 8, Cells: 4, CellsPerShard: 2, Placement: f.shardMap,
		MaxPartsPerCall: 1, CanCancel: true, MaxAttempts: 4, MaxRetryAfter: 1000, DrainGrace: 1000,
		Classes: []scheduler.Class{
			nonIdempotentClass: {LatencyObjective: 1000, Deadline: 2000, PriorityWeight: 2, LateFactor: 0.5,
				Idempotency: scheduler.NonIdempotent, MinCompleteness: 1, CompletenessTarget: 1},
			idempotentClass: {LatencyObjective: 1000, Deadline: 2000, PriorityWeight: 3, LateFactor: 0.5,
				MinCompleteness: 0.7, CompletenessTarget: 1, PartialFactor: 0.9},
		},
	}
	var err error
	f.core, err = New(settings, 7, Options{Clock: f, Log: f, ShardMap: f.shardMap})
	require.NoError(t, err)
	f.core.Attach(f, f)
	f.core.OnNewerMap(func(epoch uint64) { f.newerEpochs = append(f.newerEpochs, epoch) })
	var endpoints []scheduler.Endpoint
	for i, name := range backendNames {
		endpoints = append(endpoints, scheduler.Endpoint{Replica: replicaNumber(name), Cell: i, State: scheduler.Ready})
	}
	f.core.EndpointsChanged(scheduler.UpdateFull, endpoints)
	snapshot := shardmap.Snapshot{Epoch: 1, Buckets: 80}
	for i := range 8 {
		snapshot.Shards = append(snapshot.Shards, &shardmap.Shard{
			ID:       i,
			Range:    shardmap.Range{Start: 10 * i, End: 10*i + 10},
			Replicas: []string{backendNames[i%4], backendNames[(i+1)%4]},
		})
	}
	require.NoError(t, f.core.ApplySnapshot(snapshot))
	f.runFor(1)
	return f
}

// runFor advances the clock by the given number of ms and runs a scheduling round after each.
func (f *fixture) runFor(ms int) {
	for range ms {
		f.now++
		f.core.RunRound()
	}
}

// recordingClient is a client that records the answers that it receives.
type recordingClient struct{ answers []Answer }

func (r *recordingClient) Deliver(answer Answer) { r.answers = append(r.answers, answer) }

// submit submits a request for these shards and runs a round.
func (f *fixture) submit(class int, epoch uint64, shards ...int) *recordingClient {
	f.t.Helper()
	client := &recordingClient{}
	f.submittedCount++
	request := &Request{ID: fmt.Sprint("q", f.submittedCount), Class: class, Deadline: f.now + 2000, Epoch: epoch,
		Client: client}
	for _, shard := range shards {
		request.Parts = append(request.Parts,
			Part{Shard: shard, Weight: 1 / float64(len(shards)), CostHint: 10, HasCostHint: true})
	}
	require.NoError(f.t, f.core.Submit(request))
	f.runFor(1)
	return client
}

// applyChange applies a change to the map, as the next epoch, and runs a round.
func (f *fixture) applyChange(change shardmap.Change) {
	f.t.Helper()
	change.Base = f.core.Epoch()
	change.Epoch = f.core.Epoch() + 1
	require.NoError(f.t, f.core.ApplyChanges([]shardmap.Change{change}, nil))
	f.runFor(1)
}

// splitFirstShard splits shard 0 into shard 8, which has buckets 0 to 3, and shard 9, which has buckets 4 to 9.
func (f *fixture) splitFirstShard() {
	f.t.Helper()
	f.applyChange(shardmap.Change{Kind: shardmap.Split, Shard: 0, At: 4, Into: []int{8, 9}})
}

// moveShard moves a shard to another backend, with all steps of a move.
func (f *fixture) moveShard(id int, from, to string) {
	f.t.Helper()
	f.applyChange(shardmap.Change{Kind: shardmap.Move, Shard: id, From: from, To: to})
	f.applyChange(shardmap.Change{Kind: shardmap.Handover, Shard: id})
	f.applyChange(shardmap.Change{Kind: shardmap.Done, Shard: id})
}

// endAttempt reports how an attempt ended and runs a round. The attempt's value is the text of its buckets.
func (f *fixture) endAttempt(attempt *Attempt, outcome scheduler.Outcome) {
	f.remove(attempt)
	f.core.AttemptEnded(attempt, outcome, []byte(fmt.Sprint(attempt.Buckets)))
	f.runFor(1)
}

// succeedAll ends all attempts in flight with success, including those that are sent meanwhile.
func (f *fixture) succeedAll() {
	for len(f.inFlight) > 0 {
		f.endAttempt(f.inFlight[0], scheduler.Succeeded)
	}
}

// finalAnswer checks that a client received exactly one answer and returns it.
func (f *fixture) finalAnswer(client *recordingClient) Answer {
	f.t.Helper()
	require.Len(f.t, client.answers, 1)
	return client.answers[0]
}

// fixedFixture is a broker with fixed placement and two backends that hold its one shard. Its transport begins an
// attempt only when the test adds it to begun.
type fixedFixture struct {
	*fixture
	begun map[*Attempt]bool // attempts that can no longer be withdrawn
}

func (f *fixedFixture) Withdraw(attempt *Attempt) bool {
	if f.begun[attempt] {
		return false
	}
	f.remove(attempt)
	return true
}

// newFixedFixture makes a fixedFixture with one class.
func newFixedFixture(t *testing.T, drainGraceMs float64, canCancel bool, class scheduler.Class) *fixedFixture {
	t.Helper()
	f := &fixedFixture{fixture: &fixture{t: t, now: 1e6, wakeAt: 1e12}, begun: map[*Attempt]bool{}}
	class.LatencyObjective = 1000
	class.Deadline = 2000
	class.PriorityWeight = 1
	class.MinCompleteness = 1
	class.CompletenessTarget = 1
	settings := scheduler.Settings{
		BrokerCount: 1, TimerResolution: 5, Shards: 1, Cells: 1, CellsPerShard: 1,
		Placement: shardmap.NewRingPlacement(1, 1, 1), MaxPartsPerCall: 1, CanCancel: canCancel, MaxAttempts: 4,
		MaxRetryAfter: 1000, DrainGrace: drainGraceMs, Classes: []scheduler.Class{class},
	}
	var err error
	f.core, err = New(settings, 7, Options{Clock: f, Log: f})
	require.NoError(t, err)
	f.core.Attach(f, f)
	f.core.EndpointsChanged(scheduler.UpdateFull, []scheduler.Endpoint{{Replica: 1, State: scheduler.Ready},
		{Replica: 2, State: scheduler.Ready}})
	f.runFor(1)
	return f
}

// submitOne submits a request with one part, for the one shard, and runs a round.
func (f *fixedFixture) submitOne() *Request {
	f.t.Helper()
	f.submittedCount++
	request := &Request{ID: fmt.Sprint("q", f.submittedCount), Deadline: f.now + 2000, Client: &recordingClient{},
		Parts: []Part{{Weight: 1, CostHint: 10, HasCostHint: true}}}
	require.NoError(f.t, f.core.Submit(request))
	f.runFor(1)
	return request
}
