// Package ledger counts what many brokers do together: how much of what cold nodes may be sent they use, how
// much nodes turn away, and how evenly queries fare over brokers. It has no I/O and no clock; times are ms,
// work is ms of one core.
package ledger

import "math"

// Broker is what one broker did.
type Broker struct {
	PartsSent, PartsRejected   int // parts sent; of them turned away as busy
	Answered, Rejected, Failed int // queries by how they ended; without: failed
}

// Ended is how many of its queries have ended.
func (b Broker) Ended() int { return b.Answered + b.Rejected + b.Failed }

// Cold is what a cold node was sent and might have been sent in some time.
type Allowance struct{ Used, Allowed float64 }

// Share is how much of it was used, 0 if nothing might be sent.
func (c Allowance) Share() float64 {
	if c.Allowed <= 0 {
		return 0
	}
	return c.Used / c.Allowed
}

// Moment is what was counted in some time from At on, in ms.
type Interval struct {
	StartMs, DurationMs                        float64
	Allowance                                  Allowance
	PartsSent, PartsRejected, RequestsRejected int // parts, and queries
}

// Node is what became of a node while it was cold.
type Backend struct {
	Allowance
	Brokers       map[int]bool // brokers that sent it something
	PartsRejected int          // parts that it turned away
}

// mostMoments bounds the moments that are kept: beyond it two become one.
const maxIntervals = 1024

// Ledger is the counts of a run. Its memory is one entry for each broker, for each node that was cold with at
// most one for each broker in it, and mostMoments.
type Ledger struct {
	Brokers          []Broker
	Backends         map[string]*Backend
	Intervals        []Interval
	Total            Allowance // over the whole run
	WhileRejecting   Allowance // of the steps in which a query was refused
	current          Interval
	stepsPerInterval int // steps in a moment
	steps            int
}

// New makes a ledger for so many brokers.
func New(brokers int) *Ledger {
	return &Ledger{Brokers: make([]Broker, brokers), Backends: map[string]*Backend{}, stepsPerInterval: 1}
}

// node is a cold node's entry.
func (l *Ledger) backend(name string) *Backend {
	n := l.Backends[name]
	if n == nil {
		n = &Backend{Brokers: map[int]bool{}}
		l.Backends[name] = n
	}
	return n
}

// Sent notes a part that a broker sent.
func (l *Ledger) PartSent(broker int) {
	l.Brokers[broker].PartsSent++
	l.current.PartsSent++
}

// Busy notes that a part was turned away, by the cold node of that name, or by a warm one if it is empty.
func (l *Ledger) PartRejected(broker int, cold string) {
	l.Brokers[broker].PartsRejected++
	if l.current.PartsRejected++; cold != "" {
		l.backend(cold).PartsRejected++
	}
}

// Answered notes an answered query of a broker.
func (l *Ledger) RequestAnswered(broker int) { l.Brokers[broker].Answered++ }

// Refused notes a refusal; the step counts as one in which nodes were short.
func (l *Ledger) RequestRejected(broker int) {
	l.Brokers[broker].Rejected++
	l.current.RequestsRejected++
}

// Failed notes a failure.
func (l *Ledger) RequestFailed(broker int) { l.Brokers[broker].Failed++ }

// Cold notes work that reached a cold node from a broker.
func (l *Ledger) WorkSent(node string, broker int, work float64) {
	l.current.Allowance.Used += work
	n := l.backend(node)
	n.Used += work
	n.Brokers[broker] = true
}

// May notes that a cold node might be sent so much work in this step.
func (l *Ledger) WorkAllowed(node string, work float64) {
	l.current.Allowance.Allowed += work
	l.backend(node).Allowed += work
}

// Step ends a step of so many ms.
func (l *Ledger) EndStep(at, took float64) {
	m := l.current
	l.Total = l.Total.plus(m.Allowance)
	if m.RequestsRejected > 0 {
		l.WhileRejecting = l.WhileRejecting.plus(m.Allowance)
	}
	l.current = Interval{}
	m.StartMs, m.DurationMs = at, took
	if l.steps%l.stepsPerInterval == 0 {
		if len(l.Intervals) == maxIntervals {
			l.mergeIntervals()
		}
		l.Intervals = append(l.Intervals, m)
	} else {
		last := &l.Intervals[len(l.Intervals)-1]
		*last = last.plus(m)
	}
	l.steps++
}

// halve makes one moment of two, and of all that follow as long ones.
func (l *Ledger) mergeIntervals() {
	for i := range len(l.Intervals) / 2 {
		l.Intervals[i] = l.Intervals[2*i].plus(l.Intervals[2*i+1])
	}
	l.Intervals = l.Intervals[:len(l.Intervals)/2]
	l.stepsPerInterval *= 2
}

func (c Allowance) plus(o Allowance) Allowance {
	return Allowance{c.Used + o.Used, c.Allowed + o.Allowed}
}

// and is two moments as one, of which the first came first.
func (m Interval) plus(o Interval) Interval {
	return Interval{m.StartMs, m.DurationMs + o.DurationMs, m.Allowance.plus(o.Allowance), m.PartsSent + o.PartsSent, m.PartsRejected + o.PartsRejected,
		m.RequestsRejected + o.RequestsRejected}
}

// BusyParts is how many parts were turned away, and their share of those sent.
func (l *Ledger) RejectedParts() (n int, share float64) {
	sent := 0
	for _, b := range l.Brokers {
		n, sent = n+b.PartsRejected, sent+b.PartsSent
	}
	return n, float64(n) / math.Max(1, float64(sent))
}

// Fairness is Jain's index over brokers of the share of their queries that was answered, of those with so
// many at least: 1 if all fare alike, 1/n if one has everything. It is 0 if there is none.
func (l *Ledger) Fairness(least int) float64 {
	var x []float64
	for _, b := range l.Brokers {
		if n := b.Ended(); n > 0 && n >= least {
			x = append(x, float64(b.Answered)/float64(n))
		}
	}
	return Jain(x)
}

// Jain is Jain's index of fairness.
func Jain(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum, squares = sum+v, squares+v*v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(x)) * squares)
}
