package scheduler

import "math"

// replica is the state that the scheduler keeps for one replica.
type replica struct {
	Endpoint
	drain    drainState
	warmup   warmupState
	limit    replicaLimit
	outliers outlierState

	// excessNormalizedLatency is the average of the normalized latency minus 1.
	excessNormalizedLatency decayingAverage
	inFlight                []*attempt // in the order of sending
	callsInFlight           int
	// currentCall is the call that attempts of round currentRound may join.
	currentCall  *callInFlight
	currentRound int
	// lastUsedAt is when a connection to the replica was last used; 0 if there is no connection.
	lastUsedAt float64
	// circuitOpenUntil is the time before which the replica is sent nothing, after a rejection or a lost connection.
	circuitOpenUntil float64
}

// newReplica creates the state of a replica that was not known. If it is not ready, it may be a replica that was
// reported removed and then forgotten, so the grace of its drain counts as over.
func newReplica(e Endpoint) *replica {
	return &replica{
		Endpoint: e,
		drain:    drainState{informedAt: math.Inf(-1)},
		warmup:   warmupState{startedAt: e.StartedAt},
		limit:    replicaLimit{maxCost: initialReplicaMaxCost},
	}
}

// resetForRestart discards the estimates of the replica's previous process and begins the slow start of the new one.
func (r *replica) resetForRestart(startedAt float64) {
	r.excessNormalizedLatency = decayingAverage{}
	r.outliers.resetForNewProcess()
	r.warmup.startedAt = startedAt
}

// attemptedAt reports whether the part has been sent to the replica before.
func (p *part) attemptedAt(r *replica) bool {
	for _, a := range p.attempts {
		if a.replica == r {
			return true
		}
	}
	return false
}

// removeInFlight removes an attempt from the replica's attempts in flight.
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
