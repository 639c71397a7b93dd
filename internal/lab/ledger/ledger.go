// Package ledger sums up what all brokers of a run do together: how much of the work that warming backends may be
// sent they send, how many parts backends reject, and how evenly the share of answered requests is spread over
// brokers. It has no I/O and no clock. Times are ms, work is ms of one core.
package ledger

import "math"

// Broker holds the counts of one broker.
type Broker struct {
	PartsSent, PartsRejected   int // parts sent, and those of them that backends rejected
	Answered, Rejected, Failed int // requests by outcome
}

// Ended returns the number of its requests that have ended.
func (b Broker) Ended() int { return b.Answered + b.Rejected + b.Failed }

// Allowance is the work that warming backends were sent and the work that slow start allowed in the same time.
type Allowance struct{ Used, Allowed float64 }

// Share returns the share of the allowed work that was used, 0 if none was allowed.
func (a Allowance) Share() float64 {
	if a.Allowed <= 0 {
		return 0
	}
	return a.Used / a.Allowed
}

// Interval holds the counts of one or more consecutive steps.
type Interval struct {
	StartMs, DurationMs                        float64
	Allowance                                  Allowance
	PartsSent, PartsRejected, RequestsRejected int
}

// Backend holds the counts of a backend while it warmed up.
type Backend struct {
	Allowance
	Brokers       map[int]bool // brokers that sent it parts
	PartsRejected int
}

// maxIntervals bounds the number of intervals. When it is reached, each pair of consecutive intervals is merged.
const maxIntervals = 1024

// Ledger holds the counts of a run. Its memory is bounded by the number of brokers, of pairs of a warming backend
// and a broker, and by maxIntervals.
type Ledger struct {
	Brokers          []Broker
	Backends         map[string]*Backend // that warmed up, by name
	Intervals        []Interval
	Total            Allowance // of the whole run
	WhileRejecting   Allowance // of the steps in which brokers rejected requests
	current          Interval  // step that has not ended
	stepsPerInterval int
	steps            int
}

// New returns an empty ledger for a number of brokers.
func New(brokers int) *Ledger {
	return &Ledger{Brokers: make([]Broker, brokers), Backends: map[string]*Backend{}, stepsPerInterval: 1}
}

// backend returns the entry of a warming backend and creates it if needed.
func (l *Ledger) backend(name string) *Backend {
	b := l.Backends[name]
	if b == nil {
		b = &Backend{Brokers: map[int]bool{}}
		l.Backends[name] = b
	}
	return b
}

// PartSent counts a part that a broker sent.
func (l *Ledger) PartSent(broker int) {
	l.Brokers[broker].PartsSent++
	l.current.PartsSent++
}

// PartRejected counts a part that a backend rejected. warmingBackend is its name, or empty if it has warmed up.
func (l *Ledger) PartRejected(broker int, warmingBackend string) {
	l.Brokers[broker].PartsRejected++
	if l.current.PartsRejected++; warmingBackend != "" {
		l.backend(warmingBackend).PartsRejected++
	}
}

// RequestAnswered counts a request that a broker answered.
func (l *Ledger) RequestAnswered(broker int) { l.Brokers[broker].Answered++ }

// RequestRejected counts a request that a broker rejected. The current step then counts for WhileRejecting.
func (l *Ledger) RequestRejected(broker int) {
	l.Brokers[broker].Rejected++
	l.current.RequestsRejected++
}

// RequestFailed counts a request that failed.
func (l *Ledger) RequestFailed(broker int) { l.Brokers[broker].Failed++ }

// WorkSent adds work that a broker sent to a warming backend.
func (l *Ledger) WorkSent(backend string, broker int, work float64) {
	l.current.Allowance.Used += work
	b := l.backend(backend)
	b.Used += work
	b.Brokers[broker] = true
}

// WorkAllowed adds work that a warming backend may be sent in the current step.
func (l *Ledger) WorkAllowed(backend string, work float64) {
	l.current.Allowance.Allowed += work
	l.backend(backend).Allowed += work
}

// EndStep ends the current step, which began at startMs.
func (l *Ledger) EndStep(startMs, durationMs float64) {
	step := l.current
	l.Total = l.Total.plus(step.Allowance)
	if step.RequestsRejected > 0 {
		l.WhileRejecting = l.WhileRejecting.plus(step.Allowance)
	}
	l.current = Interval{}
	step.StartMs, step.DurationMs = startMs, durationMs
	if l.steps%l.stepsPerInterval == 0 {
		if len(l.Intervals) == maxIntervals {
			l.mergeIntervals()
		}
		l.Intervals = append(l.Intervals, step)
	} else {
		last := &l.Intervals[len(l.Intervals)-1]
		*last = last.plus(step)
	}
	l.steps++
}

// mergeIntervals merges each pair of consecutive intervals. New intervals then have the length of the merged ones.
func (l *Ledger) mergeIntervals() {
	for i := range len(l.Intervals) / 2 {
		l.Intervals[i] = l.Intervals[2*i].plus(l.Intervals[2*i+1])
	}
	l.Intervals = l.Intervals[:len(l.Intervals)/2]
	l.stepsPerInterval *= 2
}

func (a Allowance) plus(o Allowance) Allowance {
	return Allowance{a.Used + o.Used, a.Allowed + o.Allowed}
}

// plus returns the interval together with the one that follows it.
func (i Interval) plus(next Interval) Interval {
	return Interval{i.StartMs, i.DurationMs + next.DurationMs, i.Allowance.plus(next.Allowance),
		i.PartsSent + next.PartsSent, i.PartsRejected + next.PartsRejected,
		i.RequestsRejected + next.RequestsRejected}
}

// RejectedParts returns the number of parts that backends rejected, and their share of all parts sent.
func (l *Ledger) RejectedParts() (count int, share float64) {
	sent := 0
	for _, b := range l.Brokers {
		count, sent = count+b.PartsRejected, sent+b.PartsSent
	}
	return count, float64(count) / math.Max(1, float64(sent))
}

// Fairness returns Jain's fairness index of the share of answered requests over the brokers with at least
// minRequests ended requests. It is 1 if all have the same share, 1/n if one of n brokers has all answers, and 0 if
// there is no such broker.
func (l *Ledger) Fairness(minRequests int) float64 {
	var shares []float64
	for _, b := range l.Brokers {
		if n := b.Ended(); n > 0 && n >= minRequests {
			shares = append(shares, float64(b.Answered)/float64(n))
		}
	}
	return Jain(shares)
}

// Jain returns Jain's fairness index of the values, 0 if all are 0.
func Jain(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum, squares = sum+v, squares+v*v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(values)) * squares)
}
