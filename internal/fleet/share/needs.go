package share

import "math"

const (
	needsFirst = 2.0  // x the last part's time, at least, for one of many; less for fewer, who hold more
	needsPoint = 0.35 // quantile: what has less time left than so many queries take is refused
	needsStep  = 0.3  // of the logarithm: one query moves it by at most so much
	needsMost  = 6.0  // range of the factor, for few
	spread     = 0.5  // of a part's time more for each factor e of parts: the last of many takes longest
)

// Needs learns how much time a query has to have left when it comes. A broker with a query a second holds
// nothing that would tell it that the next comes too late, and what is sent for one keeps nodes busy after
// its client has gone: 300 brokers did that with 60% of what nodes served, six with a fifth of what they
// sent.
//
// How long a query takes, by the time of its last part in the fleet now, differs: where nodes hang and
// others are asked again, of those with twice that left one in six is whole; elsewhere three in four. So
// the factor is learnt, as the quantile needsPoint of what queries took. One that was not whole took longer
// than it was waited for, which tells something only where that is more than the factor; nothing that was
// refused counts, so the factor is not biased by what it refuses itself.
//
// It goes no lower than needsFirst x (1 - 4/n). What a query of one broker wastes, the queries of all others
// lack, and none of them sees that: 300 that learnt freely came down to what their own took, and lost.
//
// One of n brokers sees an nth of the queries, and moves the factor by so little of its range: a handful of
// queries tell no quantile. So 300 are at 2 all but for 0.1, six go from 0.7 to 4.7.
type Needs struct{ factor, least, most float64 } // 0 for few brokers: nothing is refused

// NewNeeds makes what one of n brokers begins with.
func NewNeeds(n int) Needs {
	x := needsFirst * NewThrottle(n).weight
	return Needs{x, x, x + needsMost*few/math.Max(1, float64(n))}
}

// Last is the time, in ms, of the last of so many parts where one takes so long.
func Last(part float64, parts int) float64 {
	return part * (1 + spread*math.Log(math.Max(1, float64(parts))))
}

// Late tells that a query with so much time left, in ms, had better be refused, where its last part takes
// so long.
func (n *Needs) Late(left, last float64) bool { return left < n.factor*last }

// Ended notes that a query ended after age ms, whole or not, whose last part was to take last ms when it
// came; 0 tells nothing.
func (n *Needs) Ended(age, last float64, whole bool) {
	step := needsPoint // longer
	switch longer := age >= n.factor*last; {
	case n.factor == 0 || last <= 0 || !whole && !longer:
		return
	case whole && !longer:
		step = needsPoint - 1
	}
	n.factor = math.Min(math.Max(n.factor*math.Exp(needsStep*step), n.least), n.most)
}
