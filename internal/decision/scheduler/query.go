package scheduler

import "slices"

// query is an open query and its progress.
type query struct {
	Query
	class     *Class
	arrivedAt float64
	// objectiveAt is the time until which an answer has its full value.
	objectiveAt float64
	// priority is the query's priority at admission. It starts as the class's PriorityWeight.
	priority      float64
	parts         []*part
	arrivedWeight float64 // of the parts that have arrived
	// expectedLastPartMs is the latency of the query's last part that was expected at admission.
	expectedLastPartMs float64
	step               int  // 0, or 1 after the first answer of a class with two steps
	firstStepComplete  bool // the answer of the first step was complete
	awaitsAdmission    bool // the next round decides on the query's admission
	ended              bool
}

// part is a part of an open query and its progress.
type part struct {
	Part
	query            *query
	group            *atomicGroup // nil if the part is in no atomic group
	cost             float64
	attempts         []*attempt
	attemptsInFlight int
	queued           bool
	arrived          bool
	reserve          bool    // asked only in place of a late or failed part
	abandoned        bool    // no further attempt is made
	retryNotBefore   float64 // earliest time of the next attempt
}

// attempt is one dispatch of a part to a replica.
type attempt struct {
	part    *part
	number  int
	replica *replica
	call    *callInFlight
	sentAt  float64
	// replicaCost is this broker's cost in flight at the replica when the attempt was sent, with the attempt's own.
	replicaCost float64
	// limitCost is the cost that the attempt counts toward the replica's limit; 0 once it has been overtaken.
	limitCost float64
	// idleMs is how long the connection had been unused when the attempt was sent; 0 if it was new or in use.
	idleMs float64
	// overtaken is set once an attempt that was sent later has succeeded at the same replica: the replica is not the
	// reason why this one is stuck.
	overtaken bool
	late      bool // it has been late at some time
	covered   bool // a hedged request, a reassignment or a substitute part covers the late attempt
	ended     bool
	endedAt   float64
	outcome   Outcome
}

// callInFlight is a call to a replica and the attempts that it carries. The load of a replica is counted in calls.
type callInFlight struct {
	partsInFlight int
	parts         int
	cost          float64
}

func (a *attempt) mayHaveRun() bool { return !a.ended || a.outcome.mayHaveRun() }

func (p *part) mayHaveRun() bool { return slices.ContainsFunc(p.attempts, (*attempt).mayHaveRun) }

// atomicGroup is a set of parts that count only when all of them have arrived: the client asked for one part, whose
// data several shards hold.
type atomicGroup struct {
	number  int
	parts   []*part
	weight  float64
	missing int  // parts that have not arrived
	asked   bool // no part of the group is a reserve part
}

// groupParts returns the parts of the part's atomic group, or the part alone if it is in none.
func (p *part) groupParts() []*part {
	if p.group != nil {
		return p.group.parts
	}
	return []*part{p}
}

// weightIf returns the part's weight if the condition holds for it and for all parts of its atomic group, otherwise
// 0. The whole weight of an atomic group is returned for its first part and 0 for the others, so that a sum over all
// parts counts the group once.
func (p *part) weightIf(condition func(*part) bool) float64 {
	if p.group == nil {
		if condition(p) {
			return p.Weight
		}
		return 0
	}
	if p.group.parts[0] != p {
		return 0
	}
	for _, other := range p.group.parts {
		if !condition(other) {
			return 0
		}
	}
	return p.group.weight
}

// markArrived marks a part as arrived and returns the weight that this adds to the query's arrived weight.
func (p *part) markArrived() float64 {
	p.arrived = true
	if p.group == nil {
		return p.Weight
	}
	p.group.missing--
	if p.group.missing > 0 {
		return 0
	}
	return p.group.weight
}

// joinGroup adds a part to its atomic group, which it creates for the first part.
func (q *query) joinGroup(p *part) {
	for _, other := range q.parts {
		if other.group != nil && other.group.number == p.AtomicGroup {
			p.group = other.group
			break
		}
	}
	if p.group == nil {
		p.group = &atomicGroup{number: p.AtomicGroup}
	}
	p.group.parts = append(p.group.parts, p)
	p.group.weight += p.Weight
	p.group.missing++
}

// hasQueuedPart reports whether any part waits in a queue.
func (q *query) hasQueuedPart() bool {
	return slices.ContainsFunc(q.parts, func(p *part) bool { return p.queued })
}

// mayHaveRun reports whether any part of the query may have been executed.
func (q *query) mayHaveRun() bool { return slices.ContainsFunc(q.parts, (*part).mayHaveRun) }
