package scheduler

// The decisions of a co-ordinator. The interface is in api.go, what is held between events in state.go. A
// query's life: QueryArrived and PartArrived take it in. EndTurn admits or refuses it (admit), groups its
// parts into calls and queues each at its shard (place). Every shard's queues drain by Deficit Round Robin
// while a replica of it is at its usual latency (release), each call to the replica with fewest of our own
// calls out (pick). Every attempt passes send, where the rules are kept. AttemptEnded learns from the outcome
// (learn) and answers the query once it is whole (settle). EndTurn, every few ms, moves on what waits (tidy),
// tries late parts elsewhere (sweep, move) and ends what is out of time (expire). finish ends a query, once.

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"ternstage/internal/decision/fleetshare"
)

// Every tuned value. "Usual" is a replica's usual time for a part of cost 1; cost 1 is the mean hint.
const (
	queueStep   = 1.5   // R: threshold i is R^i; with R = 1 all queues collapse into one
	holdAim     = 0.33  // x least aim: a usual call may take so long before its replica is above its usual level
	holdLeast   = 1.6   // x usual: bounds of that level; below, chance alone would hold parts
	holdMost    = 5.0   // x usual: more than this is a queue, whatever the aim
	meanGain    = 0.03  // weight of the newest in slow means: time of a call, time that first tries are given
	roomFirst   = 4.0   // costs out at a replica not yet known: a few of the smallest machine's slots
	roomLow     = 0.5   // x: what is worth least is turned away from that much of the fleet's room
	roomAim     = 0.5   // x least aim: a fleet whose median call takes longer is given less
	roomCut     = 0.85  // of what is out: left of that then, once a round trip
	roomBack    = 0.3   // costs of room given back for each cost answered at a better level
	roomGrow    = 0.5   // costs: how much a part answered at usual latency adds, by cost over room
	shutFor     = 3.0   // mean parts' work: a lost replica gets nothing for so long, a full one for a third
	besides     = 0.3   // share of the other parts of a call that a part waits for
	fewPeers    = 4     // co-ordinators: with more, what one has out itself tells little of a replica's queue
	dearCall    = 0.5   // x a part's work: a call that costs more is shared by parts of one turn
	jamLevel    = 1.8   // x the fleet's level: above it a replica that holds parts up gets them at a pace
	jamPace     = 2.0   // parts side by side that a replica is taken to serve for that pace: a machine's cores
	promoteAt   = 0.5   // x aim: a part held longer jumps to the fastest queue
	maxCost     = 64.0  // costs: bounds the rounds that one call can take of a drain
	minCost     = 0.3   // costs: a part hinted cheaper still takes a fixed time
	unitGain    = 0.002 // weight of the newest hint in the mean hint
	hintMost    = 1e7   // ms: a hint above it is no hint
	usualPoint  = 0.35  // quantile of latency called usual: low, so that queueing moves it little
	usualStep   = 0.01  // x usual: one sample moves the quantile by at most so much
	usualFirst  = 64    // samples after a start whose own quantile it is: a long query's come back sorted
	levelGain   = 0.35  // weight of the newest latency in a replica's level: two or three samples tell
	fadeLeast   = 1500  // ms: half-life of a bad level without news, so that suspects come back; with little
	fadeMost    = 8000  // ms: traffic it grows to this, or a level would be gone before the next sample
	fleetStep   = 0.05  // share by which one latency moves the fleet's level: it doubles in 15 samples
	fleetParts  = 8.0   // parts: those of a longer query move the fleet's level no more than so many
	idleLeast   = 250.0 // ms: what fails at once on a connection unused for so long was lost with it
	idleGain    = 0.3   // weight of the newest send on an idle connection: two that hang in a row are doubt
	idleFew     = 20.0  // replicas up to which one hang or reset weighs all that; among more by the square less
	idleDoubt   = 0.35  // doubt from which idle connections are closed before a send
	idleMemory  = 30000 // ms: half-life of that doubt; then idle connections are tried again
	quickReset  = 0.5   // mean parts' work: a reset or refused connection so soon tells of no work done
	failGain    = 0.6   // weight of the newest outcome: a failure makes a suspect, a success clears it in part
	failSuspect = 0.5   // share of failures from which a replica is a suspect
	failUnsafe  = 0.1   // the same for parts that must not run twice
	slowSuspect = 3.5   // x the fleet's level from which a replica is a suspect
	doubtWeight = 30.0  // levels: what a doubt of 1 weighs between replicas for such parts
	slowUnsafe  = 2.0   // the same for parts that must not run twice
	trialRest   = 10.0  // mean parts' work: how long after a trial that came back slow the next one may be
	slowWay     = 2.0   // x the best zone's level from which a zone's replicas are suspects
	crossTie    = 0.5   // levels: what another zone weighs between replicas with equally few calls out
	tieNoise    = 0.15  // levels: random part of a tie, so that co-ordinators do not move in step
	hedgeAfter  = 2.5   // x usual for its cost: a part out longer is late
	hedgeAim    = 0.3   // x aim: before that a late part needs no copy, nor a failed one its last try
	cancelRest  = 15.0  // ms from a cancel to the next try: it must be known at the replica before that is out
	trySpace    = 0.1   // x aim: a further try at a suspect is so long after the last
	hedgeFree   = 4.0   // second copies in hedgeWindow without any traffic: our own restraint
	hedgeShare  = 0.05  // the same for each query or part taken in it
	hedgeWindow = 2000  // ms
	moveLevel   = 4.0   // x another replica's level: from there on a late part moves to it
	moveDoubt   = 0.5   // what that says of the first one for parts that must not run twice
	jamFor      = 1000  // ms after a refusal or a full replica in which a slow fleet makes no second copy
	moveSlow    = 1.4   // x usual: a fleet whose median call takes longer moves nothing either then
	slowFleet   = 2.0   // x usual: a fleet whose median call takes longer is slow
	shedAt      = 0.06  // x aim: a part held so long at its replicas makes the module refuse what is worth least
	shedSpan    = 0.20  // x aim: so much more for what is worth most
	tryShort    = 0.97  // of what first tries are given: a repeat with less left is cut by its class's deadline
	repeatWorth = 0.25  // worth of a query asked before: part of its time is gone, and what refused it may last
	lateLittle  = 0.15  // worth after the aim under which an answer is not waited for
	answerSpare = 10.0  // ms, and a tick: so long before the client leaves the final answer is out
	sweepEvery  = 10.0  // ms between sweeps; finer than any latency judged
	coldShare   = 0.7   // of the cold allowance used: the rest is for errors of the estimate
	jamWeighs   = 1.5   // x the weight of a part held as long as that, of what may be missed
	openAim     = 0.5   // x aim: a part is not waited for whose replicas all stay closed for longer
	coldGrant   = 2.0   // mean parts' work: a smaller share of the allowance is rounded to whole parts
	coldStride  = 0.618 // circles: how far apart replicas' turns begin; the golden ratio spreads them
	calmGain    = 5e-4  // weight of the newest usual latency in the least one, where it is above it
	coldMost    = 2.0   // ms of work in a ms: as much as one co-ordinator may believe a warm replica does
	coldUnit    = 100.0 // ms of work a part is taken for while nothing has been seen
	watchMost   = 1500  // ms: longest delay of few after a failed call for the list, the first is a third of it
	watchGrow   = 6.0   // x: by how much a longer one, of many, grows; from watchMost by a fifth at first
	askEach     = 60.0  // ms: what a call is taken to cost the list service; many peers space theirs out
	weightSlack = 5e-5  // weights: rounding allowed by half of what the rule allows
)

// queueRates are the Deficit Round Robin rates, in cost a round: top rate 5 and steps of 1.
var queueRates = [...]float64{5, 4, 3, 2}

const queues = len(queueRates)

// New makes the decisions for one co-ordinator. The error names the setting that cannot be.
func New(s Settings, seed uint64, actions Actions) (*Scheduler, error) {
	if actions == nil {
		return nil, errors.New("actions: missing")
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	s.MaxPartsPerCall, s.BrokerCount = max(1, s.MaxPartsPerCall), max(1, s.BrokerCount)
	never := math.Inf(1)
	b := &Scheduler{s: s, act: actions, rng: seed, replicas: map[uint32]*replica{}, byID: map[uint64]*query{},
		byGroup: map[int]*query{}, parts: map[uint64]*part{}, out: map[[2]uint64]*attempt{},
		fleet: 1, median: 1, bestWay: 1, ways: map[int]stamp{}, room: never,
		spare: answerSpare + s.TimerResolution, hold: holdLeast, cores: 1, leastAim: never, wakeAt: never,
		watchAt: never, jamAt: -never, tenants: make([]stamp, len(s.TenantRates)),
		far: map[int]*shard{}, waits: map[int]float64{}, sum: fleetshare.NewClientThrottle(s.BrokerCount),
		needs: fleetshare.NewDeadlineAdmission(s.BrokerCount), cold: fleetshare.NewSlowStartQuota(s.BrokerCount), tryTime: make([]float64, len(s.Classes))}
	for _, c := range s.Classes {
		b.maxWorth, b.leastAim = max(b.maxWorth, c.PriorityWeight), min(b.leastAim, c.LatencyObjective)
	}
	return b, nil
}

// EndpointsChanged takes a report of the list of replicas.
func (b *Scheduler) EndpointsChanged(now float64, kind UpdateKind, entries []Endpoint) {
	b.born = cmp.Or(b.born, now)
	if kind == UpdateFailed {
		// A growing, spread delay guards the service from a crowd; it is short among tens, as news is told in 6 s.
		crowd, w := b.crowd()*float64(min(len(b.order), 1)), b.watchWait // without a list nothing can be served
		b.watchWait = min(max(watchGrow*w-(watchGrow-1.2)*watchMost, min(max(2*w, crowd), watchMost), watchMost/3),
			max(watchMost, 2*crowd-watchMost), max(b.s.MaxStaleness/3, 2*min(crowd, b.s.MaxStaleness), b.s.TimerResolution))
		b.watchAt = now + b.watchWait*(0.5+0.5*b.random())
		return
	}
	if b.watchWait, b.watchAt = 0, math.Inf(1); kind == UpdateCached && b.s.PollEndpoints {
		if b.watchAt = now; b.crowd() > 0 && len(entries) > 0 { // it may be an old list, and everybody's
			b.watchAt += min(b.crowd(), b.s.MaxStaleness) / 2 * b.random()
		}
	}
	seen := map[uint32]bool{}
	for _, e := range entries {
		seen[e.Replica] = true
		r := b.replicas[e.Replica]
		if r == nil {
			r = &replica{Endpoint: e, warmFrom: e.StartedAt, room: roomFirst,
				informed: math.Inf(-1)} // unless it is ready it may be one that was told gone and forgotten
			b.replicas[e.Replica], b.order = r, append(b.order, r)
		} else if e.StartedAt > r.StartedAt {
			// Restarted: what was learnt of the old process is void, and the new one is cold.
			r.level, r.fail, r.once, r.lost, r.warmFrom = stamp{}, stamp{}, stamp{}, false, e.StartedAt
			r.trials, r.badAt, r.slow = 0, 0, false
		}
		if r.State = e.State; e.State != Removed {
			r.Cell, r.Zone, r.StartedAt = e.Cell, e.Zone, max(e.StartedAt, r.StartedAt)
		}
	}
	slices.SortFunc(b.order, func(x, y *replica) int { return cmp.Compare(x.Replica, y.Replica) })
	clear(b.holders)
	b.byCell = map[int][]*replica{}
	b.order = slices.DeleteFunc(b.order, func(r *replica) bool {
		if kind != UpdateDelta && !seen[r.Replica] {
			r.State = Removed
		}
		r.informed = min(r.informed, now)
		if r.State == Ready {
			r.informed = math.Inf(1)
		}
		if r.State == Removed && len(r.out) == 0 {
			delete(b.replicas, r.Replica)
			return true
		}
		if r.State != Removed {
			b.byCell[r.Cell] = append(b.byCell[r.Cell], r)
		}
		return false
	})
}

// crowd is how long the list service needs, in ms, for a call of each peer; few are none.
func (b *Scheduler) crowd() float64 { return askEach * float64(max(0, b.s.BrokerCount-fewPeers)) }

// QueryArrived takes a query; its parts follow before EndTurn.
func (b *Scheduler) QueryArrived(now float64, in Query) {
	b.taken.add(now, max(b.s.RetryBudgetWindow, hedgeWindow))
	if b.byID[in.ID] != nil {
		return
	}
	if in.Class = max(in.Class, 0); in.Class >= len(b.s.Classes) {
		b.act.Fail(in.ID)
		return
	}
	c := &b.s.Classes[in.Class]
	q := &query{Query: in, class: c, arrived: now, fresh: true, value: c.PriorityWeight, aim: now + c.LatencyObjective}
	// A repeat with less time left than first tries have is measured from its first try: the class's deadline
	// spans all tries. Guards against retry storms; may misjudge a repeat whose client hurries.
	usual, left := &b.tryTime[in.Class], in.Deadline-now
	if !in.ClientRetry {
		*usual += (left - *usual) * meanGain
	} else if q.value *= repeatWorth; left < *usual*tryShort {
		if q.aim = min(q.aim, in.Deadline-c.Deadline+c.LatencyObjective); q.aim < now+b.work(1) {
			q.value *= c.LateFactor
		}
	}
	if in.Tenant >= 0 && in.Tenant < len(b.tenants) {
		// Tenant shares: a bucket of one second's allowance, an even share for each co-ordinator.
		t, rate := &b.tenants[in.Tenant], b.s.TenantRates[in.Tenant]/float64(b.s.BrokerCount)
		*t = stamp{now, min(t.v+(now-t.at)/1000*rate, max(rate, 1))}
		if t.v--; t.v < 0 {
			t.v++
			q.value *= b.s.OverQuotaFactor
		}
	}
	b.queries, b.fresh = append(b.queries, q), append(b.fresh, q)
	b.byID[in.ID], b.byGroup[in.QueryGroup] = q, q
}

// PartArrived takes a part of a query that is held; others are ignored.
func (b *Scheduler) PartArrived(now float64, in Part) {
	b.taken.add(now, max(b.s.RetryBudgetWindow, hedgeWindow))
	q := b.byGroup[in.QueryGroup]
	if q == nil || b.s.Placement.Group(in.Shard) < 0 || b.parts[in.ID] != nil {
		return
	}
	b.add(q, in)
	if !q.fresh {
		q.fresh, b.fresh = true, append(b.fresh, q)
	}
}

// add makes a part of a query.
func (b *Scheduler) add(q *query, in Part) *part {
	p := &part{Part: in, q: q, cost: 1}
	if in.HasCostHint && in.CostHint > 0 && in.CostHint < hintMost {
		// The unit is the mean hint of our own traffic, so the first threshold 1 means the same everywhere.
		b.hints++
		b.unit += (in.CostHint - b.unit) * max(unitGain, 1/b.hints)
		p.cost = min(max(in.CostHint/b.unit, minCost), maxCost)
	}
	if in.AtomicGroup > 0 {
		q.join(p)
	}
	q.parts, b.parts[in.ID] = append(q.parts, p), p
	return p
}

// AttemptEnded takes the outcome of an attempt.
func (b *Scheduler) AttemptEnded(now float64, res AttemptResult) {
	key := [2]uint64{res.Part, uint64(res.Attempt)}
	a := b.out[key]
	if a == nil {
		return
	}
	delete(b.out, key)
	p, r := a.part, a.r
	a.ended, a.end, a.outcome = true, now, res.Outcome
	defer func() { r.load -= a.weight; b.load -= p.cost }()
	r.out = slices.DeleteFunc(r.out, func(x *attempt) bool { return x == a })
	if a.call.left--; a.call.left == 0 {
		r.calls--
	}
	p.live, p.over = p.live-1, p.over || res.PartDone
	b.learn(now, a, res)
	if res.Outcome == NotHolder {
		p.pause = now + res.RetryDelay
	}
	if p.q.ended || p.in {
		return
	}
	if res.Outcome == Succeeded {
		p.q.share += p.arrive()
		b.cancel(p)
	} else if p.live > 0 {
		return
	} else if p.reserve = b.standIn(now, p.q); p.reserve {
		return // a part that another stands in for becomes a reserve itself; other parts wait for the sweep
	}
	b.settle(now, p.q)
}

// ClientDisconnected drops a query that its client has left.
func (b *Scheduler) ClientDisconnected(now float64, id uint64) {
	if q := b.byID[id]; q != nil {
		b.drop(q)
	}
}

// TimerFired takes the timer; the work is EndTurn's.
func (b *Scheduler) TimerFired(now float64) {
	if now >= b.wakeAt {
		b.wakeAt = math.Inf(1)
	}
}

// RunRound admits the queries of this turn, sweeps what is held, and releases queued parts.
func (b *Scheduler) RunRound(now float64) {
	b.turn++
	b.cold.Advance(now, b.countWarm)
	if b.s.PollEndpoints && now >= b.watchAt {
		b.act.WatchEndpoints()
		b.watchAt = now + cmp.Or(b.s.MaxStaleness/2, math.Inf(1)) // should no answer come at all
	}
	for _, s := range b.active {
		s.tidy(now)
	}
	b.noteHeld(now)
	for _, q := range b.fresh {
		if q.fresh = false; !q.ended {
			b.admit(now, q)
		}
	}
	b.fresh = b.fresh[:0]
	for _, q := range b.queries {
		if !q.ended && !b.expire(now, q) {
			b.sweep(now, q)
		}
	}
	b.queries = slices.DeleteFunc(b.queries, func(q *query) bool { return q.ended })
	b.sortActive()
	for _, s := range b.active {
		b.release(now, s)
	}
	b.rest()
	wake := b.watchAt
	if len(b.queries) > 0 {
		wake = min(wake, now+sweepEvery)
	}
	if wake < b.wakeAt {
		b.wakeAt = wake
		b.act.SetTimer(max(wake-now, b.s.TimerResolution))
	}
}

// admit refuses a query that would come too late, or queues its parts.
func (b *Scheduler) admit(now float64, q *query) {
	// Overload: refuse at the door, least worth first. It shows in parts held and, among many peers, in the
	// fleet's room and in how much of what is sent is served; what is larger than the room comes in at a pace.
	// Parts that are jammed, or open nowhere soon, are missed: fatal unless an answer may lack them.
	held, cost, missed, worth := 0.0, 0.0, 0.0, q.value/b.maxWorth
	for _, p := range q.parts {
		wait := b.waited(now, p) / (q.class.LatencyObjective * (shedAt + shedSpan*worth))
		cost, held = cost+p.cost, held+p.Weight*jamWeighs*min(1, wait)
		if p.over = p.over || q.step == 0 && wait > 1; p.over || !b.opensBy(now, p, now+openAim*q.class.LatencyObjective) {
			missed += p.Weight
		}
	}
	room := b.room * (roomLow + worth)
	q.last = fleetshare.ExpectedLastPartMs(b.median*b.partTime, len(q.parts))
	shed := q.step == 0 && (b.needs.IsTooLate(q.Deadline-b.spare-now, q.last) ||
		missed > 0 && max(missed, held) > 1-q.class.MinCompleteness+weightSlack || b.load > room ||
		now < b.admitted+(cost/room-1)*b.median*b.partTime || b.sum.ShouldReject(worth, b.random))
	if shed && (b.load > room || held > 0) {
		b.jamAt = now
	}
	if shed || len(q.parts) == 0 || now >= q.Deadline-b.spare {
		b.finish(now, q)
		return
	}
	b.admitted = now
	// Where less than all is whole, the cheapest parts that suffice are asked; the others are their reserve.
	ask, sum := slices.Clone(q.parts), 0.0
	if q.step == 0 && q.class.CompletenessTarget < 1 {
		slices.SortStableFunc(ask, func(x, y *part) int { return cmp.Compare(x.cost*y.Weight, y.cost*x.Weight) })
	}
	todo := ask[:0]
	for _, p := range ask {
		asked := p.unit != nil && p.unit.asked // parts that count together are asked together
		if p.reserve = q.step == 0 && sum >= q.class.CompletenessTarget-weightSlack && !asked; !p.reserve && !p.over {
			if todo = append(todo, p); p.unit != nil {
				p.unit.asked = true
			}
		}
		if !p.over {
			sum += p.Weight
		}
	}
	b.place(now, todo)
}

// place groups parts with the same holders into calls and queues them by the bottleneck's rule. Among many
// co-ordinators it groups only where calls are dear: a batch lands on a queue that own counts do not show.
func (b *Scheduler) place(now float64, parts []*part) {
	var calls []*call
	big, most := &call{}, b.s.MaxPartsPerCall
	if b.s.BrokerCount > fewPeers && !b.dear() {
		most = 1
	}
	for _, p := range parts {
		i := slices.IndexFunc(calls, func(c *call) bool {
			return len(c.parts) < most && b.s.Placement.Group(c.parts[0].Shard) == b.s.Placement.Group(p.Shard)
		})
		if i < 0 {
			i = len(calls)
			calls = append(calls, &call{since: now})
		}
		c := calls[i]
		c.parts, c.cost, p.queued = append(c.parts, p), min(c.cost+p.cost, maxCost), true
		if c.cost > big.cost {
			big = c
		}
	}
	for _, c := range calls {
		i := queueOf(big.cost)
		if c != big {
			i = slackQueue(i, c.cost/big.cost)
		}
		s := b.queue(c.parts[0].Shard, now)
		s.fifo[i] = append(s.fifo[i], c)
	}
}

// dear tells that a call costs so much beside its parts that parts had better share one.
func (b *Scheduler) dear() bool { return b.s.CallOverhead > dearCall*cmp.Or(b.unit, b.work(1)) }

// queueOf is the queue of a bottleneck: threshold i <= cost < threshold i x R, the first threshold being 1.
func queueOf(cost float64) int {
	i := 0
	for t := queueStep; cost >= t && i < queues-1; t *= queueStep {
		i++
	}
	return i
}

// slackQueue is the ratio rule for a call that is not the bottleneck; never faster than the bottleneck's.
func slackQueue(bottleneck int, ratio float64) int {
	best, least := bottleneck, 1.0
	for i := bottleneck; i < queues; i++ {
		if off := math.Abs(ratio - queueRates[i]/queueRates[bottleneck]); off < least {
			best, least = i, off
		}
	}
	return best
}

// tidy drops calls that nobody wants any more and moves those held past half their aim to the fastest queue.
func (s *shard) tidy(now float64) {
	s.oldest = now
	for i := range s.fifo {
		s.fifo[i] = slices.DeleteFunc(s.fifo[i], func(c *call) bool {
			q, wanted := c.parts[0].q, slices.ContainsFunc(c.parts, func(p *part) bool { return p.queued })
			late := i > 0 && now-q.arrived > promoteAt*q.class.LatencyObjective
			if wanted {
				s.oldest = min(s.oldest, c.since)
				if late {
					s.fifo[0] = append(s.fifo[0], c)
				}
			}
			return !wanted || late
		})
	}
}

// next is the queue whose turn it is by Deficit Round Robin, or -1 if all are empty.
func (s *shard) next() int {
	left := 0
	for i, f := range s.fifo {
		if left += len(f); len(f) == 0 {
			s.deficit[i] = 0
		}
	}
	for left > 0 {
		if f := s.fifo[s.turn]; len(f) > 0 && s.deficit[s.turn] >= f[0].cost {
			return s.turn
		}
		if s.turn = (s.turn + 1) % queues; len(s.fifo[s.turn]) > 0 {
			s.deficit[s.turn] += queueRates[s.turn]
		}
	}
	return -1
}

// release drains a shard's queues while some usable replica of it is at its usual latency.
func (b *Scheduler) release(now float64, s *shard) {
	for i := s.next(); i >= 0; i = s.next() {
		c := s.fifo[i][0]
		r, free := b.pick(now, s.id, c.cost, c.parts[0], nil)
		if r == nil || !free {
			return
		}
		for _, p := range c.parts {
			if p.queued && !b.send(now, p, r) {
				return // the rules don't let it go yet
			}
		}
		s.fifo[i][0] = nil // or a shard at rest holds its last queries
		s.fifo[i] = s.fifo[i][1:]
		s.deficit[i] -= c.cost
	}
}

// pick chooses the shard's replica with fewest of our own calls out; ties go by level, failures and zone.
// Unfit replicas leave the choice unless nothing else is lawful; one that the part was tried on comes last.
// A part that can join a call of this turn adds none. free tells that some usable replica is at its usual
// latency, or has nothing of ours out and its turn has come (paced), so a hold cannot deadlock.
func (b *Scheduler) pick(now float64, shard int, cost float64, p, tried *part) (best *replica, free bool) {
	dear, bestKey := b.dear(), [3]float64{}
	for _, r := range b.holdersOf(shard) {
		if b.opens(now, r, cost) > now {
			continue
		}
		level := b.levelOf(now, r)
		key := [3]float64{0, float64(r.calls), level + 2*b.fade(r.fail, now) + tieNoise*b.random()}
		if c := r.turnCall; dear && r.turn == b.turn && c.left > 0 && c.size < b.s.MaxPartsPerCall {
			key[1]--
			key[2] -= b.s.CallOverhead / b.work(1)
		}
		if r.Zone != b.s.LocalZone {
			key[2] += crossTie
		}
		if doubt := decay(r.once, now, fadeMost); !b.fit(now, r) {
			key[0], key[1] = 1, 0
		} else if p.q.class.Idempotency == NonIdempotent && (doubt > failUnsafe || level > slowUnsafe*b.fleet) {
			// An unsafe part is lost by one failure: others try a doubtful replica. Slow is better than failing.
			key[0], key[1], key[2] = 0.5, 0, key[2]+doubtWeight*doubt
		}
		if tried != nil && tried.tried(r) {
			key[0] += 2
		}
		if best == nil || key[0] < bestKey[0] {
			free = false // only the best kind of replica counts for the hold
		}
		if best == nil || key[0] <= bestKey[0] {
			free = free || now >= r.shutUntil && (len(r.out) == 0 && b.paced(now, r, level) ||
				level <= b.hold && (len(r.out) == 0 || r.load < r.room))
		}
		if best == nil || slices.Compare(key[:], bestKey[:]) < 0 {
			best, bestKey = r, key
		}
	}
	return best, free
}

// paced tells whether a part may go to a replica above its usual level that has nothing of ours out: among
// many peers that alone keeps its queue full, so each sends one part in the time in which the replica serves
// one of everybody's. Guards a shard whose replicas are all jammed; may hold back who has most traffic.
func (b *Scheduler) paced(now float64, r *replica, level float64) bool {
	return b.s.BrokerCount <= fewPeers || level <= jamLevel*b.fleet || now >= r.used+b.usual*float64(b.s.BrokerCount)/jamPace
}

// warm tells that no cold start of a replica is known, or that it is over.
func (b *Scheduler) warm(now float64, r *replica) bool {
	return b.s.SlowStartWorkMultiple*b.s.SlowStartWindow <= 0 || r.warmFrom <= 0 || now >= r.warmFrom+b.s.SlowStartDuration+b.s.SlowStartWindow
}

// opens is when the rules of drains and cold replicas let a part go to a replica, by what is known now of its
// drain, its start and what we sent it; never if our share of its allowance is less.
func (b *Scheduler) opens(now float64, r *replica, cost float64) float64 {
	switch warm := b.warm(now, r); {
	case r.State == Removed || now > r.informed+b.s.DrainGrace/2 || b.handed && !warm:
		return math.Inf(1)
	case warm:
		return now
	case now < b.born+b.s.SlowStartWindow: // what it sent before a restart is forgotten, and still counts
		return b.born + b.s.SlowStartWindow
	}
	left, need := b.coldMay(now, r, cost)
	for i := len(r.cold) - 1; left >= need; i-- {
		if i < 0 || r.cold[i].at < now-b.s.SlowStartWindow {
			return now
		}
		if left -= r.cold[i].v; left < need {
			return r.cold[i].at + b.s.SlowStartWindow + b.s.TimerResolution
		}
	}
	return math.Inf(1)
}

// coldMay is our share of a cold replica's allowance in any window, in ms of work; it is taken for as cold as
// half a window ago. A small share is rounded to whole parts by a turn that is spread evenly over the peers:
// together they have the allowance. need is the part's work, or one where parts are counted.
func (b *Scheduler) coldMay(now float64, r *replica, cost float64) (may, need float64) {
	age := max(0, now-r.warmFrom-b.s.SlowStartWindow/2)
	one := b.s.SlowStartWorkMultiple * b.s.SlowStartWindow * (b.s.SlowStartInitialCapacity + (1-b.s.SlowStartInitialCapacity)*min(1, age/max(b.s.SlowStartDuration, 1)))
	may = b.cold.QuotaMs(coldShare*b.cores*one/float64(b.s.BrokerCount), one)
	if need = b.coldWork(cost); may < coldGrant*b.coldWork(1) {
		need = b.coldWork(1)
		turn := math.Mod(float64(b.s.BrokerIndex)/float64(b.s.BrokerCount)+float64(r.Replica)*coldStride, 1)
		may = math.Floor(may/need+turn) * need
	}
	return may, need
}

// work is what a part is taken for, in ms: the mean hint or, should hints be untrue, what latencies say.
func (b *Scheduler) work(cost float64) float64 {
	return cmp.Or(max(b.unit, b.usual), coldUnit) * max(cost, 1)
}

// coldWork is the same for the allowance of cold replicas: latencies hold waiting too, so the hints are
// believed unless the least usual latency of late is over three times them.
func (b *Scheduler) coldWork(cost float64) float64 {
	work := b.unit
	if b.calm > 3*b.unit {
		work = b.calm
	}
	return cmp.Or(work, coldUnit) * max(cost, 1)
}

// fit tells whether a replica is to be used as usual, by how its peers do. Guards against slow, stalled,
// failing and unreachable replicas; may starve an unlucky one until that fades.
func (b *Scheduler) fit(now float64, r *replica) bool {
	level := b.levelOf(now, r)
	return r.State == Ready && b.fade(r.fail, now) < failSuspect && b.wayOf(now, r.Zone) < slowWay*b.bestWay &&
		(level < slowSuspect*b.fleet || len(r.out) == 0 && r.trials > 0 && now >= r.trialAt)
}

// tried learns from an answer or a part given up, x times the usual latency, whether a replica stood still or
// is slow. What one that stands held comes back late at once, or is cancelled as its copies answer; a part
// sent after that is a trial, and one at usual latency ends the suspicion at once. After each slow trial the
// next waits twice as long. Guards sound replicas against being left after a pause of 200 ms.
func (b *Scheduler) tried(now float64, a *attempt, x float64) {
	r := a.r
	if x < slowSuspect*b.fleet {
		if a.sent > r.badAt && x <= b.hold {
			r.trials, r.level.v = 0, min(r.level.v, max(0, x-1))
		}
		return
	}
	if a.sent > r.badAt || r.trials == 0 { // none: it came late out of a stall that a trial has ended
		r.trials++
	}
	rest := trialRest * b.work(1) * (math.Exp2(float64(r.trials-1)) - 1)
	r.badAt, r.trialAt = now, now+min(rest, fadeMost)
}

// wayOf is the level of what comes from a zone, as the fleet's is of all: a slow way there is told from slow
// replicas by all of a zone being slow to us, and is found sooner than replica by replica.
func (b *Scheduler) wayOf(now float64, zone int) float64 {
	return 1 + decay(b.ways[zone], now, fadeMost)
}

// learnWay takes a latency by the usual one. A slow replica counts once until it answers as its zone does:
// what comes late out of one that stood still says nothing of the others there.
func (b *Scheduler) learnWay(now float64, r *replica, x float64) {
	level, zone := b.wayOf(now, r.Zone), r.Zone
	if r.slow && x > level {
		return
	}
	r.slow = x > slowWay*level
	b.ways[zone] = stamp{now, max(0, level*(1+math.Copysign(fleetStep, x-level))-1)}
	b.bestWay = math.Inf(1)
	for z := range b.ways {
		b.bestWay = min(b.bestWay, b.wayOf(now, z))
	}
}

// fade is an observed badness now. Without news it halves in the time in which as many results come in as
// there are replicas: guards a co-ordinator with little traffic against forgetting before the next sample.
func (b *Scheduler) fade(s stamp, now float64) float64 {
	return decay(s, now, min(max(fadeLeast, b.gap*float64(len(b.order))), fadeMost))
}

// levelOf is a replica's latency by the usual one: the recent mean, or the age of the oldest part not passed.
func (b *Scheduler) levelOf(now float64, r *replica) float64 {
	level := 1 + b.fade(r.level, now)
	if i := slices.IndexFunc(r.out, func(a *attempt) bool { return !a.passed }); i >= 0 {
		level = max(level, (now-r.out[i].sent)/b.expect(r.out[i]))
	}
	return level
}

// expect is the usual time of an attempt's call at its replica.
func (b *Scheduler) expect(a *attempt) float64 {
	return cmp.Or(b.usual, b.work(1)) * b.callCost(a)
}

// callCost is what a latency is measured against: the part's cost and some of what shares its call.
func (b *Scheduler) callCost(a *attempt) float64 {
	cost := a.part.cost + besides*(a.call.cost-a.part.cost)
	if b.unit > 0 {
		cost += b.s.CallOverhead / b.unit
	}
	return max(cost, minCost)
}

// learn takes what an outcome says of its replica.
func (b *Scheduler) learn(now float64, a *attempt, res AttemptResult) {
	r, bad := a.r, 1.0
	b.sum.RecordResult(a.part.cost*res.tells(), res.Outcome != Rejected)
	if res.Outcome == NotHolder {
		r.used = now
		return // it says nothing against the replica
	}
	b.gap, b.lastEnd = b.gap+(now-max(b.lastEnd, now-fadeMost)-b.gap)*meanGain, now
	observe := func(x float64) {
		was := b.fade(r.level, now)
		r.level = stamp{now, max(0, was+levelGain*(x-1-was))}
	}
	quick := now-a.sent < quickReset*b.work(1)
	if res.ConnectionOnly {
		return // guards sound replicas against the faults of the way to them
	}
	if b.idleEnds(now, a, res.Outcome, res.Outcome == ConnectionReset && quick) {
		return
	}
	if res.Outcome == Succeeded || res.Outcome == Failed || res.Outcome == Rejected {
		r.used = now
	}
	switch res.Outcome {
	case Succeeded:
		x := res.Latency / b.callCost(a)
		if b.warm(now, r) {
			b.cold.RecordServed(b.coldWork(a.part.cost))
		}
		b.usual = b.quantile(x)
		if b.calm += (b.usual - b.calm) * calmGain; b.usual < b.calm || len(b.first) < usualFirst {
			b.calm = b.usual // of the first few samples it may be far too low
		}
		whole := b.usual * (a.call.cost + b.callCost(a) - a.part.cost)
		b.partTime += (b.usual*b.callCost(a) - b.partTime) * meanGain
		b.callTime = (1-meanGain)*cmp.Or(b.callTime, whole) + meanGain*whole
		b.hold = min(max(holdAim*b.leastAim/b.callTime, holdLeast), holdMost)
		observe(x / b.usual)
		b.learnWay(now, r, x/b.usual)
		b.tried(now, a, x/b.usual)
		b.fleet = max(1, b.fleet*(1+math.Copysign(fleetStep, x-b.fleet*b.usual)))
		// The parts of a long query come back sorted: they move the median that tells overload as a few would.
		step := fleetStep * min(1, fleetParts/float64(len(a.part.q.parts)+1))
		b.median = max(1, b.median*(1+math.Copysign(step, x-b.median*b.usual)))
		for _, o := range r.out {
			if o.sent < a.sent { // guards against one lost message blocking a sound replica, or its room
				o.passed, r.load, o.weight = true, r.load-o.weight, 0
			}
		}
		if r.lost {
			// It lost its connections and serves again: perhaps a new, cold process, of which the list is late.
			r.lost, r.warmFrom = false, max(r.warmFrom, r.fail.at)
		}
		// Room is what was carried at usual latency. Guards waiting rooms against a burst let go at once.
		if x > b.hold*b.usual {
			if r.cutAt < a.sent {
				r.room, r.cutAt = max(1, min(r.room, r.load)), now
			}
		} else if r.load >= r.room/2 {
			r.room += roomGrow * a.part.cost / r.room
		}
		if b.s.BrokerCount <= fewPeers || b.median*b.partTime <= roomAim*b.leastAim {
			b.room += roomBack * a.part.cost
		} else {
			b.cut(now, a.sent)
		}
		if bad = 0; x < b.usual {
			b.cores = max(b.cores, min(a.load, coldMost))
		}
	case Rejected: // a jam, not a fault: it gets nothing for a while, or its quick refusals would draw all parts
		observe(max(2*b.hold, b.levelOf(now, r)))
		b.jamAt, r.shutUntil, r.room = now, now+shutFor/3*b.work(1), max(1, min(r.room, r.load))
		return
	case TimedOut, Cancelled, NotSent:
		x := (now - a.sent) / b.expect(a)
		observe(max(x, b.levelOf(now, r)))
		if x >= slowSuspect*b.fleet {
			b.tried(now, a, x)
		}
		if x > b.hold && r.cutAt < a.sent {
			r.room, r.cutAt = 1, now // guards against a crowd at a hung replica each time its bad level has faded
		}
		if x > b.wayOf(now, r.Zone) {
			b.learnWay(now, r, x)
		}
		return
	case ConnectFailed, ConnectionReset:
		// Dead processes refuse at once; a dial that times out may be slow, and must fail twice to tell.
		r.used = 0
		if res.Outcome == ConnectionReset || quick {
			r.lost, r.fail, r.shutUntil = true, stamp{now, 1}, now+shutFor*b.work(1)
		} else {
			b.idleLost.v /= 2 // handshakes are slow: closing idle connections is dear
		}
	}
	r.fail = stamp{now, b.fade(r.fail, now)*(1-failGain) + failGain*bad}
	b.doubt(now, r, a.part.q.class, bad)
}

// doubt notes what an outcome says of a replica for parts that must not run twice. Successes of other
// classes say nothing: a release may break one class alone.
func (b *Scheduler) doubt(now float64, r *replica, c *Class, bad float64) {
	if bad > 0 || c.Idempotency == NonIdempotent {
		r.once = stamp{now, decay(r.once, now, fadeMost)*(1-failGain) + failGain*bad}
	}
}

// cut lowers the room of the fleet, once for what was sent since the last time.
func (b *Scheduler) cut(now, sent float64) {
	if b.s.BrokerCount > fewPeers && b.cutAt < sent {
		b.room, b.cutAt = max(roomFirst, roomCut*min(b.room, b.load)), now
	}
}

// idleEnds learns what became of a send on an idle connection and tells that its replica is not to blame: a
// reset at once, or hanging where most do, tells that idle connections are dropped unseen; then they are
// closed before a send. Guards sound replicas and unsafe parts; costs handshakes, which may be slow. Among
// many replicas each is met on an idle connection, so one that hangs for all says little, and once only.
func (b *Scheduler) idleEnds(now float64, a *attempt, o Outcome, reset bool) bool {
	hung := (o == TimedOut || o == Cancelled) && !a.passed && now-a.sent > hedgeAfter*b.fleet*b.expect(a)
	doubt, weight := decay(b.idleLost, now, idleMemory), min(1, math.Pow(idleFew/float64(len(b.order)+1), 2))
	if a.idle >= idleLeast && o == Succeeded || a.idle < idleLeast && hung { // hanging has another cause
		b.idleLost = stamp{now, doubt * (1 - idleGain)}
	}
	if o == Succeeded {
		a.r.idleHung = false
	}
	if a.idle < idleLeast || !reset && !hung {
		return false
	}
	if !a.r.idleHung || weight == 1 || reset {
		b.idleLost = stamp{now, doubt + (1-doubt)*idleGain*weight}
	}
	if a.r.idleHung = true; reset {
		b.idleLost.v, a.r.used = max(b.idleLost.v, weight), 0
	}
	return b.idleLost.v > idleDoubt
}

// quantile is the fleet's usual latency with one more sample.
func (b *Scheduler) quantile(x float64) float64 {
	if len(b.first) < usualFirst {
		i, _ := slices.BinarySearch(b.first, x)
		b.first = slices.Insert(b.first, i, x)
		return b.first[int(usualPoint*float64(len(b.first)))]
	}
	if x > b.usual {
		return b.usual * (1 + usualPoint*usualStep)
	}
	return b.usual * (1 - (1-usualPoint)*usualStep)
}

// sweep looks after the parts of one held query that are out: late ones and failed ones.
func (b *Scheduler) sweep(now float64, q *query) {
	for _, p := range q.parts {
		if p.in || p.reserve || p.queued || len(p.attempts) == 0 {
			continue
		}
		a := p.attempts[len(p.attempts)-1]
		if p.live == 0 {
			b.again(now, p, false)
		} else if !a.ended && !a.copied {
			late := now-a.sent > hedgeAfter*b.fleet*b.expect(a)
			if late && !a.late {
				a.late = true // a lost or slow way shows in what is late before anything comes back
				b.learnWay(now, a.r, (now-a.sent)/b.expect(a))
			}
			due := late && now-q.arrived > hedgeAim*q.class.LatencyObjective
			a.copied = due && (b.standIn(now, q) || b.again(now, p, true) || b.move(now, p, a))
		}
	}
}

// expire ends a query whose time is up, or that cannot be answered in a useful time any more.
func (b *Scheduler) expire(now float64, q *query) bool {
	c, last := q.class, q.Deadline-b.spare
	if c.LateFactor < lateLittle {
		last = min(last, q.aim)
	}
	// A partial answer goes when waiting is worth less; what is late and not even sent makes way for others.
	soon := now+b.spare+sweepEvery >= q.aim
	if now >= last || soon && q.partial() && c.PartialFactor*q.share/c.CompletenessTarget >= c.LateFactor ||
		now > max(q.aim, q.arrived) && slices.ContainsFunc(q.parts, func(p *part) bool { return p.queued }) {
		b.finish(now, q)
	}
	return q.ended
}

// standIn asks a reserve part of a query in place of a late or failed one.
func (b *Scheduler) standIn(now float64, q *query) bool {
	i := slices.IndexFunc(q.parts, func(p *part) bool { return p.reserve && b.mayRepeat(now, p) })
	if i < 0 {
		return false
	}
	legs := q.parts[i].legs()
	for _, p := range legs {
		p.reserve = false
	}
	b.place(now, legs)
	return true
}

// again makes a further attempt at a part: a second copy of a late one, or a new try after a failure. It goes
// past the queues but only to a replica that would not be held against, so retries cannot feed a jam; nor can
// copies, where something is held at the part's own replicas or the whole fleet is slow.
func (b *Scheduler) again(now float64, p *part, second bool) bool {
	// The last try is kept for later: guards against a dead set using up all tries in a moment.
	n := len(p.attempts)
	if now < p.pause {
		return false
	}
	if n >= 2 && n == b.s.MaxAttempts-1 && now < p.q.arrived+hedgeAim*p.q.class.LatencyObjective || !b.mayRepeat(now, p) ||
		second && (b.held(p.Shard, now) < now || b.median > slowFleet && now < b.jamAt+jamFor ||
			b.copies.since(now-hedgeWindow) >= hedgeFree+hedgeShare*b.taken.since(now-hedgeWindow)) {
		return false
	}
	if n > 0 && p.attempts[n-1].outcome == Cancelled && now < p.attempts[n-1].end+cancelRest {
		return false
	}
	r, free := b.pick(now, p.Shard, p.cost, p, p)
	if r == nil || !free || now < r.shutUntil || len(r.out) > 0 && b.levelOf(now, r) > b.hold {
		return false
	}
	if !second && !b.fit(now, r) && now < p.q.arrived+float64(n)*trySpace*p.q.class.LatencyObjective {
		return false // only suspects are left: a sound one that is cold or full may have room soon
	}
	if second && (!b.fit(now, r) || p.tried(r)) || !b.send(now, p, r) {
		return false
	} else if second {
		b.copies.add(now, hedgeWindow)
	}
	return true
}

// move gives up a late attempt at a part that may be repeated, where no second copy may be out: once its
// end is told, the next sweep tries another replica. Guards safe parts against replicas that hang or crawl;
// throws away what was about to come, so it keeps still in a jam of its set, and of a slow fleet.
func (b *Scheduler) move(now float64, p *part, a *attempt) bool {
	if !b.s.CanCancel || b.s.AllowHedging || p.q.class.Idempotency != Idempotent ||
		b.held(p.Shard, now) < now || b.median > moveSlow && now < b.jamAt+jamFor ||
		b.s.MaxAttempts > 0 && len(p.attempts) >= b.s.MaxAttempts ||
		b.copies.since(now-hedgeWindow) >= hedgeFree+hedgeShare*b.taken.since(now-hedgeWindow) {
		return false
	}
	r, free := b.pick(now, p.Shard, p.cost, p, p)
	if r == nil || !free || !b.fit(now, r) || p.tried(r) || moveLevel*b.levelOf(now, r) > b.levelOf(now, a.r) {
		return false
	}
	b.copies.add(now, hedgeWindow)
	b.doubt(now, a.r, p.q.class, moveDoubt) // once nothing is out there, its level fades before it is sound
	b.act.Cancel(p.ID, a.no)
	return true
}

// mayRepeat is the rule of effects: what a further attempt at a part needs.
func (b *Scheduler) mayRepeat(now float64, p *part) bool {
	for _, a := range p.attempts {
		if a.mayHaveRun() && (!a.ended && !b.s.AllowHedging || p.q.class.Idempotency == NonIdempotent ||
			p.q.class.Idempotency == IdempotentWithKey && now > a.sent+p.q.class.DedupWindow) {
			return false
		}
	}
	return !p.over && p.live < 2 && (b.s.MaxAttempts <= 0 || len(p.attempts) < b.s.MaxAttempts)
}

// send starts an attempt. Every attempt passes here, and every rule on sending is checked here.
func (b *Scheduler) send(now float64, p *part, r *replica) bool {
	q, left := p.q, p.q.Deadline-b.spare-now
	if q.ended || p.in || left <= 0 || b.opens(now, r, p.cost) > now {
		return false
	}
	if len(p.attempts) > 0 {
		w := b.s.RetryBudgetWindow
		if !b.mayRepeat(now, p) || w > 0 &&
			b.extra.since(now-w-1)+1 > b.s.RetryBudgetSpare+b.s.RetryBudgetRatio*b.taken.since(now-w+1) {
			return false
		}
		b.extra.add(now, w)
	}
	idle := 0.0
	if n := len(r.out); n > 0 {
		idle = r.out[n-1].idle // it shares the connection, and its fate
	} else if r.used > 0 {
		idle = now - r.used
	}
	if idle > idleLeast && len(r.out) == 0 && decay(b.idleLost, now, idleMemory) > idleDoubt {
		b.act.CloseIdleConnections(r.Replica)
		idle = 0
	}
	r.used = now
	r.cold = append(slices.DeleteFunc(r.cold, func(w stamp) bool { return w.at < now-b.s.SlowStartWindow }),
		stamp{now, b.coldWork(p.cost)})
	c := r.turnCall
	if r.turn != b.turn || c == nil || c.size >= b.s.MaxPartsPerCall || c.left == 0 {
		c = &callOut{}
		r.turn, r.turnCall = b.turn, c
		r.calls++
	}
	c.left, c.size, c.cost = c.left+1, c.size+1, c.cost+p.cost
	a := &attempt{part: p, no: len(p.attempts), r: r, call: c, sent: now, load: r.load + p.cost,
		weight: p.cost, idle: idle}
	p.queued, r.load, b.load = false, a.load, b.load+p.cost
	p.attempts, r.out, p.live = append(p.attempts, a), append(r.out, a), p.live+1
	b.out[[2]uint64{p.ID, uint64(a.no)}] = a
	if q.class.LateFactor < lateLittle {
		left = min(left, max(q.aim-now, 1)) // so that a replica need not begin what comes too late
	}
	b.act.Send(p.ID, r.Replica, left)
	return true
}

// settle answers a query that is whole, and ends one that no longer can be: with what is allowed at once.
func (b *Scheduler) settle(now float64, q *query) {
	could := 0.0
	for _, p := range q.parts {
		could += p.weighs(func(x *part) bool { return x.in || x.live > 0 || b.mayRepeat(now, x) })
	}
	hopeless := could < q.class.MinCompleteness-weightSlack || q.share >= could-weightSlack
	if q.reaches(q.share) || !q.reaches(could) && hopeless {
		b.finish(now, q)
	}
}

// reaches tells that so much weight makes the present step whole.
func (q *query) reaches(weight float64) bool {
	return len(q.parts) > 0 && (weight >= 1-weightSlack || q.step == 0 && weight >= q.class.CompletenessTarget-weightSlack)
}

// partial tells that an answer that is not whole may be given.
func (q *query) partial() bool {
	return q.class.MinCompleteness < q.class.CompletenessTarget && q.share > 0 && q.share >= q.class.MinCompleteness-weightSlack
}

// finish gives the one final answer: what is in if that is allowed, else a refusal if that is harmless, else
// a failure. The first answer of a class with a second step keeps the query instead.
func (b *Scheduler) finish(now float64, q *query) {
	c, whole := q.class, q.reaches(q.share) && (q.step == 0 || q.firstWhole)
	b.needs.QueryEnded(now-q.arrived, q.last*float64(1-q.step), whole) // of the first step alone
	// What ends unanswered at its aim was served in vain: a sign of overload sooner than the median's, unless
	// the fleet is quick. A client that left the query less time is no such sign.
	if now >= q.aim && !q.reaches(q.share) && !q.partial() && b.median*b.partTime > roomAim/2*b.leastAim {
		b.cut(now, q.arrived)
	}
	switch {
	case q.reaches(q.share) || q.partial():
		b.act.Answer(q.ID, whole)
		if q.step == 0 && c.SecondStepParts > 0 {
			b.dropParts(q)
			q.step, q.firstWhole = 1, whole
			return
		}
	case c.Idempotency == Idempotent || q.step == 0 && !slices.ContainsFunc(q.parts, (*part).mayHaveRun):
		b.act.Reject(q.ID, min(q.class.LatencyObjective/2, b.s.MaxRetryAfter))
	default:
		b.act.Fail(q.ID)
	}
	b.drop(q)
}

// drop forgets a query, takes its parts out of the queues and cancels what is out.
func (b *Scheduler) drop(q *query) {
	q.ended = true
	delete(b.byID, q.ID)
	if b.byGroup[q.QueryGroup] == q {
		delete(b.byGroup, q.QueryGroup)
	}
	b.dropParts(q)
}
