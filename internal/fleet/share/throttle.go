package share

import "math"

const (
	few    = 4    // brokers up to which own results by node tell more, and nothing is turned away here
	rise   = 0.02 // of the logarithm of what is let in, for each work taken
	fall   = 0.08 // the same for each turned away: at rest rise/(rise+fall), a fifth, are
	least  = 0.1  // share that is let in at least: what tells that the fleet has room again
	atOnce = 64.0 // work: a part counts for no more
	surest = 0.5  // of a query of no worth is turned away from this excess on, of one of full worth from 1.5
)

// Throttle turns away queries at a broker's own door, so that what all brokers send stays near what the
// fleet serves.
//
// Each broker's parts are a sample of the fleet: of what all send the same share s is taken, for each of
// them. The logarithm of what a broker lets in moves by rise x s - fall x (1-s) with each work that it
// sends, so it is at rest only where s = fall/(rise+fall), or where all is let in. No term of that holds
// the number of brokers or how traffic is split, so the sum at rest is (rise+fall)/fall of what is taken,
// 1.25 times, for any of both; what is more than that is what moves it there. A part that was turned away
// as busy counts against; one that timed out or was given up says nothing, as hung nodes and cut ways look
// like that too.
//
// Guards against a fleet that is kept busy with parts of queries that will not be whole; may turn away
// for a few queries what a fleet that has just recovered would serve.
type Throttle struct {
	weight float64 // 0 for few brokers, towards 1 for many
	out    float64 // minus the logarithm of the share that is let in
}

// NewThrottle makes the throttle of one of n brokers.
func NewThrottle(n int) Throttle {
	return Throttle{weight: math.Max(0, 1-few/math.Max(1, float64(n)))}
}

// Ended notes that a part was taken, or turned away as busy.
func (t *Throttle) Ended(work float64, taken bool) {
	step := fall
	if taken {
		step = -rise
	}
	t.out = math.Min(math.Max(0, t.out+step*math.Min(work, atOnce)), -math.Log(least))
}

// Excess is the share of what is asked for that is not let in, in [0, 1-least].
func (t *Throttle) Excess() float64 { return t.weight * (1 - math.Exp(-t.out)) }

// Refuse tells whether to turn away a query of that worth, in [0, 1], least worth first. dice gives
// numbers in [0, 1) and is asked only where something has to be turned away.
func (t *Throttle) Refuse(worth float64, dice func() float64) bool {
	x := t.Excess()
	return x > 0 && dice()*(surest+worth) < x
}
