// Package ledger counts what many brokers do together: how much of what cold nodes may be sent they use, how
// much nodes turn away, and how evenly queries fare over brokers. It has no I/O and no clock; times are ms,
// work is ms of one core.
package ledger

import "math"

// Broker is what one broker did.
type Broker struct {
	Sent, Busy                 int // parts sent; of them turned away as busy
	Answered, Refused, Without int // queries by how they ended; without: failed
}

// Ended is how many of its queries have ended.
func (b Broker) Ended() int { return b.Answered + b.Refused + b.Without }

// Cold is what a cold node was sent and might have been sent in some time.
type Cold struct{ Used, May float64 }

// Share is how much of it was used, 0 if nothing might be sent.
func (c Cold) Share() float64 {
	if c.May <= 0 {
		return 0
	}
	return c.Used / c.May
}

// Moment is what was counted in some time from At on, in ms.
type Moment struct {
	At, For             float64
	Cold                Cold
	Sent, Busy, Refused int // parts, and queries
}

// Node is what became of a node while it was cold.
type Node struct {
	Cold
	Users   map[int]bool // brokers that sent it something
	Refused int          // parts that it turned away
}

// mostMoments bounds the moments that are kept: beyond it two become one.
const mostMoments = 1024

// Ledger is the counts of a run. Its memory is one entry for each broker, for each node that was cold with at
// most one for each broker in it, and mostMoments.
type Ledger struct {
	Brokers []Broker
	Nodes   map[string]*Node
	Moments []Moment
	All     Cold // over the whole run
	Short   Cold // of the steps in which a query was refused
	now     Moment
	width   int // steps in a moment
	steps   int
}

// New makes a ledger for so many brokers.
func New(brokers int) *Ledger {
	return &Ledger{Brokers: make([]Broker, brokers), Nodes: map[string]*Node{}, width: 1}
}

// node is a cold node's entry.
func (l *Ledger) node(name string) *Node {
	n := l.Nodes[name]
	if n == nil {
		n = &Node{Users: map[int]bool{}}
		l.Nodes[name] = n
	}
	return n
}

// Sent notes a part that a broker sent.
func (l *Ledger) Sent(broker int) {
	l.Brokers[broker].Sent++
	l.now.Sent++
}

// Busy notes that a part was turned away, by the cold node of that name, or by a warm one if it is empty.
func (l *Ledger) Busy(broker int, cold string) {
	l.Brokers[broker].Busy++
	if l.now.Busy++; cold != "" {
		l.node(cold).Refused++
	}
}

// Answered notes an answered query of a broker.
func (l *Ledger) Answered(broker int) { l.Brokers[broker].Answered++ }

// Refused notes a refusal; the step counts as one in which nodes were short.
func (l *Ledger) Refused(broker int) {
	l.Brokers[broker].Refused++
	l.now.Refused++
}

// Failed notes a failure.
func (l *Ledger) Failed(broker int) { l.Brokers[broker].Without++ }

// Cold notes work that reached a cold node from a broker.
func (l *Ledger) Cold(node string, broker int, work float64) {
	l.now.Cold.Used += work
	n := l.node(node)
	n.Used += work
	n.Users[broker] = true
}

// May notes that a cold node might be sent so much work in this step.
func (l *Ledger) May(node string, work float64) {
	l.now.Cold.May += work
	l.node(node).May += work
}

// Step ends a step of so many ms.
func (l *Ledger) Step(at, took float64) {
	m := l.now
	l.All = l.All.and(m.Cold)
	if m.Refused > 0 {
		l.Short = l.Short.and(m.Cold)
	}
	l.now = Moment{}
	m.At, m.For = at, took
	if l.steps%l.width == 0 {
		if len(l.Moments) == mostMoments {
			l.halve()
		}
		l.Moments = append(l.Moments, m)
	} else {
		last := &l.Moments[len(l.Moments)-1]
		*last = last.and(m)
	}
	l.steps++
}

// halve makes one moment of two, and of all that follow as long ones.
func (l *Ledger) halve() {
	for i := range len(l.Moments) / 2 {
		l.Moments[i] = l.Moments[2*i].and(l.Moments[2*i+1])
	}
	l.Moments = l.Moments[:len(l.Moments)/2]
	l.width *= 2
}

func (c Cold) and(o Cold) Cold { return Cold{c.Used + o.Used, c.May + o.May} }

// and is two moments as one, of which the first came first.
func (m Moment) and(o Moment) Moment {
	return Moment{m.At, m.For + o.For, m.Cold.and(o.Cold), m.Sent + o.Sent, m.Busy + o.Busy,
		m.Refused + o.Refused}
}

// BusyParts is how many parts were turned away, and their share of those sent.
func (l *Ledger) BusyParts() (n int, share float64) {
	sent := 0
	for _, b := range l.Brokers {
		n, sent = n+b.Busy, sent+b.Sent
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
