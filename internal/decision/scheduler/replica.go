package scheduler

import "math"

// replica is what the scheduler knows of one replica.
type replica struct {
	Endpoint
	drain    drainState
	warmup   warmupState
	limit    replicaLimit
	outliers outlierState

	// excessNormalizedLatency averages the normalized latency above 1.
	excessNormalizedLatency decayingAverage
	inFlight                []*attempt // in the order in which they were sent
	callsInFlight           int
	// currentCall takes further parts of the round in which it was begun.
	currentCall  *callInFlight
	currentRound int
	// lastUsedAt is when a connection to it last carried something; 0 if there is none.
	lastUsedAt float64
	// circuitOpenUntil is the time before which it gets nothing, after a rejection or a lost connection.
	circuitOpenUntil float64
}

// newReplica makes the state of a replica that was not known. Unless it is ready it may be one that was reported
// removed and has been forgotten, so the grace of its drain counts as over.
func newReplica(e Endpoint) *replica {
	return &replica{
		Endpoint: e,
		drain:    drainState{informedAt: math.Inf(-1)},
		warmup:   warmupState{startedAt: e.StartedAt},
		limit:    replicaLimit{maxCost: initialReplicaMaxCost},
	}
}

// restarted forgets what was learned of the process before; the new one is warming up.
func (r *replica) resetForRestart(startedAt float64) {
	r.excessNormalizedLatency = decayingAverage{}
	r.outliers.resetForNewProcess()
	r.warmup.startedAt = startedAt
}

// attemptedAt reports whether the part was sent to the replica before.
func (p *part) attemptedAt(r *replica) bool {
	for _, a := range p.attempts {
		if a.replica == r {
			return true
		}
	}
	return false
}

// removeInFlight takes an attempt off the replica.
func (r *replica) removeInFlight(ended *attempt) {
	for i, a := range r.inFlight {
		if a == ended {
			copy(r.inFlight[i:], r.inFlight[i+1:])
			r.inFlight[len(r.inFlight)-1] = nil
			r.inFlight = r.inFlight[:len(r.inFlight)-1]
			return
		}
	}
}
