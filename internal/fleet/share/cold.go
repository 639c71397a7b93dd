package share

import "math"

const (
	coldOwn   = 1.0    // of the allowance of a cold node, by own served work
	coldIdle  = 0.25   // x an even share: what one that had nothing served may use all the same
	coldKnown = 1500.0 // ms of history from which own served work says something
	coldHalf  = 20e3   // ms: half-life of that history
	coldStep  = 250.0  // ms: steps in which it is kept
)

// Cold says how much of what a cold node may be sent is this broker's.
//
// A cold node at a fraction c of what it does when warm may be sent so many times c of that, by all brokers
// together. Each takes that many times c of what it had served itself at the mean warm node of late. However
// many brokers there are, and however traffic is split among them: the sum over all of what each has served
// at the mean warm node is what that node serves for somebody, its load u of what it can do. So
//
//	sum of shares <= (coldOwn x u + coldIdle x 0.7 / cores) x allowance
//
// where 0.7 of one core's allowance is what even shares add up to. That is within the allowance up to a load
// of 0.82 by what is of use, beyond which a fleet answers late, and never over 1.18 of it, as u is at most 1.
//
// No term holds the number of brokers, so one that is wrong about it, or ones that are dead, change little;
// and a broker with eight times the mean traffic has eight times the share. Even shares know no cores and
// take each node for the smallest, with one; served work shows what nodes do.
//
// Up to four brokers even shares are as good, and the weight of all this is 0.
type Cold struct {
	weight         float64
	at, work       float64 // when the last step ended; work served at warm nodes since then, in ms
	known          float64 // ms of history, decayed, and so up to coldHalf / ln 2
	served, offers float64 // decayed: work, and ms times warm nodes in which it was served
}

// NewCold makes the shares of one of n brokers.
func NewCold(n int) Cold { return Cold{weight: NewThrottle(n).weight} }

// Served notes work that a warm node has done for this broker, in ms.
func (c *Cold) Served(work float64) { c.work += work }

// Pass notes that time has gone by with so many warm nodes.
func (c *Cold) Pass(now float64, warm func(now float64) int) {
	if c.at == 0 {
		c.at = now
	}
	d := now - c.at
	if c.weight == 0 || d < coldStep {
		return
	}
	k := math.Exp2(-d / coldHalf)
	if n := float64(warm(now)); n > 0 { // where none is warm, what was served before still tells
		c.known, c.served, c.offers = c.known*k+d, c.served*k+c.work, c.offers*k+d*n
	}
	c.at, c.work = now, 0
}

// Share is this broker's share, in ms of work, of an allowance. even is its even share; one is the whole
// allowance of a node that does a ms of work in a ms when warm.
func (c *Cold) Share(even, one float64) float64 {
	if c.known < coldKnown {
		return even
	}
	own := math.Max(coldOwn*one*c.served/c.offers, coldIdle*even)
	return (1-c.weight)*even + c.weight*own
}
