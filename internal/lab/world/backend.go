package world

import (
	"fmt"
	"slices"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/model"
)

// backend is an emulated backend.
type backend struct {
	*model.Backend
	world             *World
	index             int
	number            uint32
	state             scheduler.ReplicaState
	gen               int  // counts the starts and stops of its process
	incomingMoves     int  // shards that are being moved to it
	hasFault          bool // an injected fault has not ended
	zone              int
	stalledUntil      float64     // ms; parts that would finish earlier finish at this time
	smoothedServiceMs float64     // moving average of the service time of parts, without their wait
	loadReport        string      // load report sent with answers, as last measured; "" if it sends none
	listeners         listenerSet // nil in virtual time
}

// listenerSet holds the listeners and connections of a backend in a live run.
type listenerSet interface {
	close() // closes listeners and connections, as the end of the process does
	listen()
	resetLost() // resets connections that lost messages while their zone was cut off
}

// responder receives a backend's answer to a part.
type responder interface{ respond(end model.Outcome) }

// receive takes a part that has reached the backend.
func (n *backend) receive(j *model.Job) {
	s := n.world
	s.check.AttemptArrived(j.RequestID, j.Buckets)
	warmingUp := ""
	if n.IsWarmingUp(s.now) && n.Fault != model.Draining {
		warmingUp = n.ID
	}
	wasOverloaded := n.Overloaded
	end, done := n.Arrive(s.now, j)
	if q := s.queries[j.RequestID]; q != nil && q.broker != nil {
		s.ledger.PartSent(q.broker.number())
		if warmingUp != "" {
			s.ledger.WorkSent(warmingUp, q.broker.number(), j.Work)
		}
		if end == model.Rejected {
			s.ledger.PartRejected(q.broker.number(), warmingUp)
		}
	}
	switch {
	case n.Overloaded && !wasOverloaded:
		s.check.BackendOverloaded(n.ID, n.IsWarmingUp(s.now))
		s.fleet.stopBackend(n)
	case end == model.NoOutcome && done > 0:
		n.partStarted(j, done)
	case end != model.NoOutcome:
		j.Context.(responder).respond(end)
	}
}

// measureLoad measures the load report at intervals. In between, answers carry the last report.
func (n *backend) measureLoad() {
	s := n.world
	n.loadReport = fmt.Sprintf("inflight=%d,latency_ms=%.1f,queue=%d", n.PartCount(), n.smoothedServiceMs,
		n.QueueLength())
	s.schedule(s.now+s.e.Backend.ReportInterval.Draw(s.fleet.loadReportRand), n.measureLoad)
}

// partStarted records that a part runs from now and schedules its end at done.
func (n *backend) partStarted(j *model.Job, done float64) {
	n.smoothedServiceMs += (done - n.world.now - n.smoothedServiceMs) / 8
	n.world.check.PartStarted(n.ID, j.RequestID, j.Buckets, j.NonIdempotent, n.heldBuckets(j))
	n.scheduleFinish(j, done, n.gen)
}

// scheduleFinish schedules the end of a part for the time at, or for the end of a stall if the backend is stalled at
// that time. The part does not finish if the process ends first.
func (n *backend) scheduleFinish(j *model.Job, at float64, gen int) {
	s := n.world
	s.schedule(at, func() {
		switch {
		case gen != n.gen:
		case n.stalledUntil > s.now:
			n.scheduleFinish(j, n.stalledUntil, gen)
		default:
			n.finishPart(j)
		}
	})
}

// finishPart answers a part that has run, and those queued parts whose shard has moved, and starts the next one.
func (n *backend) finishPart(j *model.Job) {
	end, moved, next, nextDone := n.Finish(n.world.now, j)
	for _, m := range moved {
		m.Context.(responder).respond(model.NotHolder)
	}
	if end != model.NoOutcome {
		j.Context.(responder).respond(end)
	}
	if next != nil {
		n.partStarted(next, nextDone)
	}
}

// pauseRepeatedly stalls the backend at intervals, as pauses of its runtime would.
func (n *backend) pauseRepeatedly() {
	s := n.world
	if s.now >= s.endMs {
		return
	}
	n.stalledUntil = max(n.stalledUntil, s.now+s.e.Backend.Pause.Draw(s.faultRand))
	s.schedule(s.now+s.e.Backend.PauseInterval.Draw(s.faultRand), n.pauseRepeatedly)
}

// heldBuckets reports whether the backend held a part's buckets at the epoch at which it accepted the part, by
// the catalogue's map rather than the backend's own.
func (n *backend) heldBuckets(j *model.Job) bool {
	s := n.world
	if s.e.Arm != exp.Follow && !s.Fault.Unfenced {
		return true // parts carry no epoch, and backends reject buckets that they do not hold
	}
	i := slices.IndexFunc(s.fleet.mapHistory, func(p timedVersion) bool { return p.version.Epoch == j.MapEpoch })
	if i < 0 {
		return true // the version is no longer kept
	}
	for at := j.Buckets.Start; at < j.Buckets.End; {
		x := s.fleet.mapHistory[i].version.ShardAt(at)
		if !x.Executes(n.ID) {
			return false
		}
		at = x.End
	}
	return true
}

// stopBackend ends a backend's process and resets its connections.
func (f *fleet) stopBackend(n *backend) {
	s := f.world
	for _, j := range n.Kill() {
		j.Done = true
	}
	n.gen++
	if n.listeners != nil {
		n.listeners.close()
	}
	for _, b := range s.brokers {
		b.backendStopped(n)
	}
	f.publish(n, scheduler.Removed)
}

// restartBackend starts a backend's process again; it has to warm up.
func (f *fleet) restartBackend(n *backend) {
	n.gen++
	n.Restart(f.world.now, f.shardMap.Current())
	if n.listeners != nil {
		n.listeners.listen()
	}
	f.publish(n, scheduler.Ready)
}
