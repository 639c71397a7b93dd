package scheduler

import (
	"cmp"
	"math"
	"slices"

	"ternstage/internal/decision/fleetshare"
)

const (
	// pollBackoffMaxMs is the longest delay after a failed poll in a small fleet; the first is a third of it.
	pollBackoffMaxMs = 1500.0
	// pollBackoffGrowth is the factor by which longer delays, of large fleets, grow; from pollBackoffMaxMs they
	// grow by pollBackoffFirstGrowth at first.
	pollBackoffGrowth      = 6.0
	pollBackoffFirstGrowth = 1.2
	// pollServiceMs is the time that one poll is taken to cost the discovery service; many brokers space theirs out.
	pollServiceMs = 60.0
)

// replicaTable holds the replicas that the endpoint list names.
type replicaTable struct {
	byID    map[uint32]*replica
	ordered []*replica // by number
	byCell  map[int][]*replica
}

func newReplicaTable() replicaTable { return replicaTable{byID: map[uint32]*replica{}} }

// endpointPoll decides when the endpoint list is polled after a failure.
type endpointPoll struct {
	backoffMs float64 // the last delay after a failure; 0 after a success
	dueAt     float64 // when to poll; +Inf while a watch runs or nothing is to be polled
}

// fleetPollMs is how long the discovery service needs for one poll of every broker, in ms; 0 in a small fleet.
func (s *Scheduler) fleetPollMs() float64 {
	return pollServiceMs * float64(max(0, s.settings.BrokerCount-fleetshare.SmallFleetBrokers))
}

// schedulePollAfterFailure puts the next poll off after a failure. The delay grows and is jittered, so that a fleet does not keep the
// service from recovering. It stays short in a small fleet, as changes must arrive within seconds of its return, and
// while no list is known, as nothing can be served without one.
func (s *Scheduler) schedulePollAfterFailure(now float64) {
	fleetMs := s.fleetPollMs()
	if len(s.replicas.ordered) == 0 {
		fleetMs = 0
	}
	grown := nextPollBackoffMs(s.poll.backoffMs, fleetMs)
	s.poll.backoffMs = min(grown, fleetBackoffBoundMs(fleetMs), s.stalenessBackoffBoundMs(fleetMs))
	s.poll.dueAt = now + s.poll.backoffMs*(0.5+0.5*s.random.Float64())
}

// nextPollBackoffMs is the delay that follows one of lastMs: it starts at a third of the maximum for small fleets or
// at the time of a poll of every broker, doubles up to the maximum, and grows faster beyond it.
func nextPollBackoffMs(lastMs, fleetMs float64) float64 {
	doubled := min(max(2*lastMs, fleetMs), pollBackoffMaxMs)
	beyondMax := pollBackoffGrowth*lastMs - (pollBackoffGrowth-pollBackoffFirstGrowth)*pollBackoffMaxMs
	return max(beyondMax, doubled, pollBackoffMaxMs/3)
}

// fleetBackoffBoundMs is the longest delay: the maximum for small fleets, or twice the time that the service needs
// for a poll of every broker, less that maximum.
func fleetBackoffBoundMs(fleetMs float64) float64 {
	return max(pollBackoffMaxMs, 2*fleetMs-pollBackoffMaxMs)
}

// stalenessBackoffBoundMs keeps the delay within the time after which this broker counts as notified of changes.
func (s *Scheduler) stalenessBackoffBoundMs(fleetMs float64) float64 {
	staleness := s.settings.MaxStaleness
	return max(staleness/3, 2*min(fleetMs, staleness), s.settings.TimerResolution)
}

// schedulePollAfterUpdate notes that a poll or watch brought an update. A cached list may be old, and the same at every
// broker, so that the polls that follow it are spread.
func (s *Scheduler) schedulePollAfterUpdate(now float64, kind UpdateKind, entries int) {
	s.poll.backoffMs = 0
	s.poll.dueAt = math.Inf(1)
	if kind != UpdateCached || !s.settings.PollEndpoints {
		return
	}
	s.poll.dueAt = now
	if fleetMs := s.fleetPollMs(); fleetMs > 0 && entries > 0 {
		s.poll.dueAt += min(fleetMs, s.settings.MaxStaleness) / 2 * s.random.Float64()
	}
}

// pollEndpointsIfDue polls the endpoint list when that is due.
func (s *Scheduler) pollEndpointsIfDue(now float64) {
	if !s.settings.PollEndpoints || now < s.poll.dueAt {
		return
	}
	s.actions.WatchEndpoints()
	// Should no answer come at all, it is polled again.
	s.poll.dueAt = now + cmp.Or(s.settings.MaxStaleness/2, math.Inf(1))
}

// EndpointsChanged takes an update of the endpoint list, or the report that a poll failed.
func (s *Scheduler) EndpointsChanged(now float64, kind UpdateKind, entries []Endpoint) {
	s.slowStart.startedAt = cmp.Or(s.slowStart.startedAt, now)
	if kind == UpdateFailed {
		s.schedulePollAfterFailure(now)
		return
	}
	s.schedulePollAfterUpdate(now, kind, len(entries))
	listed := make(map[uint32]bool, len(entries))
	for _, e := range entries {
		listed[e.Replica] = true
		s.replicas.apply(e)
	}
	if kind != UpdateDelta {
		s.replicas.markUnlistedRemoved(listed)
	}
	s.replicas.refresh(now)
	clear(s.replicasByGroup)
}

// apply takes one entry of the endpoint list.
func (t *replicaTable) apply(e Endpoint) {
	r := t.byID[e.Replica]
	if r == nil {
		r = newReplica(e)
		t.byID[e.Replica] = r
		t.ordered = append(t.ordered, r)
	} else if e.StartedAt > r.StartedAt {
		r.resetForRestart(e.StartedAt)
	}
	r.State = e.State
	if e.State == Removed {
		return
	}
	r.Cell = e.Cell
	r.Zone = e.Zone
	r.StartedAt = max(e.StartedAt, r.StartedAt)
}

func (t *replicaTable) markUnlistedRemoved(listed map[uint32]bool) {
	for _, r := range t.ordered {
		if !listed[r.Replica] {
			r.State = Removed
		}
	}
}

// refresh notes since when replicas are known to leave, forgets removed ones with nothing in flight, and groups the
// others by cell.
func (t *replicaTable) refresh(now float64) {
	slices.SortFunc(t.ordered, func(x, y *replica) int { return cmp.Compare(x.Replica, y.Replica) })
	t.byCell = map[int][]*replica{}
	remaining := t.ordered[:0]
	for _, r := range t.ordered {
		r.drain.update(now, r.State)
		if r.State == Removed && len(r.inFlight) == 0 {
			delete(t.byID, r.Replica)
			continue
		}
		remaining = append(remaining, r)
		if r.State != Removed {
			t.byCell[r.Cell] = append(t.byCell[r.Cell], r)
		}
	}
	clear(t.ordered[len(remaining):])
	t.ordered = remaining
}
