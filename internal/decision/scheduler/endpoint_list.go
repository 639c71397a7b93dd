package scheduler

import (
	"cmp"
	"math"
	"slices"

	"ternstage/internal/decision/fleetshare"
)

const (
	// pollBackoffMaxMs is the longest delay after a failed poll in a small fleet. The first delay is a third of it.
	pollBackoffMaxMs = 1500.0
	// pollBackoffGrowth and pollBackoffFirstGrowth determine the longer delays of large fleets. A delay that exceeds
	// pollBackoffMaxMs by x is followed by one of pollBackoffFirstGrowth*pollBackoffMaxMs + pollBackoffGrowth*x.
	pollBackoffGrowth      = 6.0
	pollBackoffFirstGrowth = 1.2
	// pollServiceMs is the time that the discovery service is assumed to need for one poll. The brokers of a large
	// fleet space out their polls accordingly.
	pollServiceMs = 60.0
)

// replicaTable holds the replicas of the endpoint list, and removed ones that still have attempts in flight.
type replicaTable struct {
	byID    map[uint32]*replica
	ordered []*replica         // by replica number
	byCell  map[int][]*replica // without removed replicas
}

func newReplicaTable() replicaTable { return replicaTable{byID: map[uint32]*replica{}} }

// endpointPoll holds when the endpoint list is polled next.
type endpointPoll struct {
	backoffMs float64 // last delay after a failure, before jitter; 0 after a success
	dueAt     float64 // time of the next poll; +Inf only while a watch runs or no poll is needed
}

// fleetPollMs returns how long the discovery service needs for one poll of every broker, in ms. It returns 0 in a
// small fleet.
func (s *Scheduler) fleetPollMs() float64 {
	return pollServiceMs * float64(max(0, s.settings.BrokerCount-fleetshare.SmallFleetBrokers))
}

// schedulePollAfterFailure schedules the next poll after a failed one. The delay grows and is jittered, so that the
// polls of a fleet do not keep the service from recovering. The delay stays short in a small fleet, which must
// receive changes within seconds after the service has recovered. It also stays short while there is no list, as
// nothing can be served without one.
func (s *Scheduler) schedulePollAfterFailure(now float64) {
	fleetMs := s.fleetPollMs()
	if len(s.replicas.ordered) == 0 {
		fleetMs = 0
	}
	grown := nextPollBackoffMs(s.poll.backoffMs, fleetMs)
	s.poll.backoffMs = min(grown, fleetBackoffBoundMs(fleetMs), s.stalenessBackoffBoundMs(fleetMs))
	s.poll.dueAt = now + s.poll.backoffMs*(0.5+0.5*s.random.Float64())
}

// nextPollBackoffMs returns the delay that follows one of lastMs. fleetMs is the time of one poll of every broker.
// The first delay is fleetMs, but at least a third of pollBackoffMaxMs and at most pollBackoffMaxMs. Delays double up
// to pollBackoffMaxMs and then grow faster.
func nextPollBackoffMs(lastMs, fleetMs float64) float64 {
	doubled := min(max(2*lastMs, fleetMs), pollBackoffMaxMs)
	beyondMax := pollBackoffGrowth*lastMs - (pollBackoffGrowth-pollBackoffFirstGrowth)*pollBackoffMaxMs
	return max(beyondMax, doubled, pollBackoffMaxMs/3)
}

// fleetBackoffBoundMs returns the longest delay that the size of the fleet allows: 2*fleetMs - pollBackoffMaxMs, but
// at least pollBackoffMaxMs. fleetMs is the time of one poll of every broker.
func fleetBackoffBoundMs(fleetMs float64) float64 {
	return max(pollBackoffMaxMs, 2*fleetMs-pollBackoffMaxMs)
}

// stalenessBackoffBoundMs returns the longest delay that MaxStaleness allows. This broker counts as notified of every
// change once MaxStaleness has passed since its last poll.
func (s *Scheduler) stalenessBackoffBoundMs(fleetMs float64) float64 {
	staleness := s.settings.MaxStaleness
	return max(staleness/3, 2*min(fleetMs, staleness), s.settings.TimerResolution)
}

// schedulePollAfterUpdate resets the backoff after an update from a poll or watch. A cached list is followed by a
// poll, as it may be stale. All brokers may start with a cached list at the same time, so the polls of a large fleet
// are spread.
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

// pollEndpointsIfDue polls the endpoint list if a poll is due.
func (s *Scheduler) pollEndpointsIfDue(now float64) {
	if !s.settings.PollEndpoints || now < s.poll.dueAt {
		return
	}
	s.actions.WatchEndpoints()
	// Without any answer, the poll is repeated at this time.
	s.poll.dueAt = now + cmp.Or(s.settings.MaxStaleness/2, math.Inf(1))
}

// EndpointsChanged applies an update of the endpoint list or reports that a poll failed. It is only for what a poll or
// watch has brought, since it determines when the list is polled next; see EndpointsOverridden.
func (s *Scheduler) EndpointsChanged(now float64, kind UpdateKind, entries []Endpoint) {
	s.slowStart.sentWorkKnownSince = cmp.Or(s.slowStart.sentWorkKnownSince, now)
	if kind == UpdateFailed {
		s.schedulePollAfterFailure(now)
		return
	}
	s.schedulePollAfterUpdate(now, kind, len(entries))
	s.applyEndpoints(now, entries, kind != UpdateDelta)
}

// EndpointsOverridden applies a change that did not come from discovery: operators have suspended or resumed the
// backends of entries. The change says nothing about discovery or the watch, so a scheduled poll stays scheduled.
func (s *Scheduler) EndpointsOverridden(now float64, entries []Endpoint) {
	s.applyEndpoints(now, entries, false)
}

// applyEndpoints updates the replicas of entries. If the entries are the complete list, all other replicas have been
// removed.
func (s *Scheduler) applyEndpoints(now float64, entries []Endpoint, complete bool) {
	listed := make(map[uint32]bool, len(entries))
	for _, e := range entries {
		listed[e.Replica] = true
		s.replicas.apply(e)
	}
	if complete {
		s.replicas.markUnlistedRemoved(listed)
	}
	s.replicas.refresh(now)
	clear(s.replicasByGroup)
}

// apply updates a replica with its entry in the endpoint list, or adds it if it is not known.
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

// markUnlistedRemoved marks every replica as removed that has no entry in the list.
func (t *replicaTable) markUnlistedRemoved(listed map[uint32]bool) {
	for _, r := range t.ordered {
		if !listed[r.Replica] {
			r.State = Removed
		}
	}
}

// refresh updates the drain state of each replica, deletes removed replicas without attempts in flight, and fills
// byCell with the replicas that are not removed.
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
