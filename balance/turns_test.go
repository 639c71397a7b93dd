package balance

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// wholeParts is what coldLeft leaves a broker, in parts, of a share of so many, when nothing has been sent yet. passing is
// the window over which the allowance counts, age the replica's age, both by the ramp.
//
// At any time the fraction of parts of all n brokers is rounded up. The turn moves by passing in a window, so in any window
// n x (fraction + passing) brokers at most have had it, which taking passing off beforehand makes n x parts; a share below
// twice passing keeps half of itself, or nobody would ever send, and the sum is then n x (parts/2 + passing) at most.
func wholeParts(parts, passing float64, me, n int, node uint32, age float64) float64 {
	const ramp, unit = 18_000.0, 100.0
	s := Settings{Me: me, Peers: n, ColdFrom: 1, ColdFor: ramp, FallFor: passing * ramp}
	s.FallMultiple = parts * unit * float64(n) / coldShare / s.FallFor
	b := &Balancer{s: s, unit: unit, cores: 1, born: -ramp}
	r := &replica{Entry: Entry{Replica: node}, warmFrom: 1}
	left, _ := b.coldLeft(r.warmFrom+s.FallFor/2+age*ramp, r, 1)
	return left / unit
}

// TestTurnsStayWithinTheAllowance: in any window, all brokers that use whatever their turns give them send no more than
// the bound that is argued here, with clocks apart, and with a tenth more of them than each is told.
func TestTurnsStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.IntRange(5, 1000).Draw(t, "told")
		n := told + rapid.IntRange(0, told/10).Draw(t, "more")
		parts := rapid.Float64Range(0.001, 2).Draw(t, "parts")
		passing := rapid.Float64Range(0.01, 0.3).Draw(t, "passing")
		apart := rapid.Float64Range(0, 0.003).Draw(t, "clocks apart, by the ramp")
		node := rapid.Uint32().Draw(t, "node")
		from := rapid.Float64Range(0, 1-passing-apart).Draw(t, "window from")
		sum := 0.0
		for me := range n {
			most := 0.0
			for k := range 21 { // the most that the broker may have out at any moment of the window
				age := from + passing*float64(k)/20 + apart*float64(me%2)
				most = math.Max(most, wholeParts(parts, passing, me, told, node, age))
			}
			sum += most
		}
		bound := float64(told)*(math.Max(parts, parts/2+passing)+apart) +
			float64(n-told)*(math.Floor(parts)+1) // those that are too many may all share the turn of others
		assert.LessOrEqual(t, sum, bound+4, "%d brokers", n)
	})
}

// TestEachBrokerHasItsTurn: in the ramp every broker of a small share may send a part once at least, and neighbouring
// nodes are not all the same brokers' at a time.
func TestEachBrokerHasItsTurn(t *testing.T) {
	const n, parts, passing = 300, 0.075, 1.0 / 12
	same := 0
	for me := range n {
		had := 0
		for k := range 2000 {
			age := float64(k) / 2000
			if wholeParts(parts, passing, me, n, 7, age) > 0 {
				if had++; wholeParts(parts, passing, me, n, 8, age) > 0 {
					same++
				}
			}
		}
		assert.Positive(t, had, "broker %d", me)
	}
	assert.Zero(t, same, "times at which two nodes are the same broker's")
}
