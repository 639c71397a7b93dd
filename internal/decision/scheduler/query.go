package scheduler

import "slices"

// query is a query that has not ended.
type query struct {
	Query
	class     *Class
	arrivedAt float64
	// objectiveAt is the time until which an answer has its full worth.
	objectiveAt float64
	// priority is the query's worth for admission; it starts as the class's PriorityWeight.
	priority      float64
	parts         []*part
	arrivedWeight float64 // of the parts that have arrived
	// expectedLastPartMs is the time that its last part was expected to take at admission.
	expectedLastPartMs float64
	step               int  // 0, or 1 after the first answer of a class with two steps
	firstStepComplete  bool // the answer of the first step was complete
	awaitsAdmission    bool // it is decided on in the next round
	ended              bool
}

// part is a part of a query that has not ended.
type part struct {
	Part
	query            *query
	group            *atomicGroup // nil if it counts by itself
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
	// replicaCost is the cost in flight at the replica with this attempt.
	replicaCost float64
	// limitCost is what the attempt counts toward the replica's limit; 0 once it has been overtaken.
	limitCost float64
	// idleMs is for how long its connection had not been used when it was sent; 0 if it was new or in use.
	idleMs float64
	// overtaken says that a later attempt at the replica has ended well: this one is stuck by itself.
	overtaken bool
	late      bool // it was late once
	covered   bool // a hedged request, a reassignment or a substitute part takes its place
	ended     bool
	endedAt   float64
	outcome   Outcome
}

// callInFlight is a call that carries attempts to a replica. A replica's load is counted in calls.
type callInFlight struct {
	partsInFlight int
	parts         int
	cost          float64
}

func (a *attempt) mayHaveRun() bool { return !a.ended || a.outcome.mayHaveRun() }

func (p *part) mayHaveRun() bool { return slices.ContainsFunc(p.attempts, (*attempt).mayHaveRun) }

// atomicGroup is parts that count only together: what was one part for the client and several shards hold.
type atomicGroup struct {
	number  int
	parts   []*part
	weight  float64
	missing int  // parts that have not arrived
	asked   bool // none of them is a reserve part
}

// companions are the parts that count together with this one, itself included.
func (p *part) groupParts() []*part {
	if p.group != nil {
		return p.group.parts
	}
	return []*part{p}
}

// weightIf is what a part adds to a sum over its query's parts if all that count together satisfy a condition. The
// weight of an atomic group is added once, with its first part.
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
	for _, companion := range p.group.parts {
		if !condition(companion) {
			return 0
		}
	}
	return p.group.weight
}

// markArrived notes that a part has arrived and returns the weight that has arrived with it.
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

// joinGroup puts a part of a query into its atomic group.
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

// hasQueuedPart reports whether some part waits in a queue.
func (q *query) hasQueuedPart() bool {
	return slices.ContainsFunc(q.parts, func(p *part) bool { return p.queued })
}

// mayHaveRun reports whether some part may have been executed.
func (q *query) mayHaveRun() bool { return slices.ContainsFunc(q.parts, (*part).mayHaveRun) }
