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

// Ledger is the counts of a run. Its memory is one entry for each broker.
type Ledger struct {
	Brokers []Broker
	All     Cold // over the whole run
	Short   Cold // of the steps in which a query was refused
	step    Cold
	refused bool
}

// New makes a ledger for so many brokers.
func New(brokers int) *Ledger { return &Ledger{Brokers: make([]Broker, brokers)} }

// Sent notes a part that a broker sent.
func (l *Ledger) Sent(broker int) { l.Brokers[broker].Sent++ }

// Busy notes that a part was turned away.
func (l *Ledger) Busy(broker int) { l.Brokers[broker].Busy++ }

// Answered notes an answered query of a broker.
func (l *Ledger) Answered(broker int) { l.Brokers[broker].Answered++ }

// Refused notes a refusal; the step counts as one in which nodes were short.
func (l *Ledger) Refused(broker int) {
	l.Brokers[broker].Refused++
	l.refused = true
}

// Failed notes a failure.
func (l *Ledger) Failed(broker int) { l.Brokers[broker].Without++ }

// Cold notes work that reached a cold node.
func (l *Ledger) Cold(work float64) { l.step.Used += work }

// Step ends a step, in which cold nodes might have been sent so much work in all.
func (l *Ledger) Step(may float64) {
	l.step.May = may
	l.All = Cold{l.All.Used + l.step.Used, l.All.May + l.step.May}
	if l.refused {
		l.Short = Cold{l.Short.Used + l.step.Used, l.Short.May + l.step.May}
	}
	l.step, l.refused = Cold{}, false
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
