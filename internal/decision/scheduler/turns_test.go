package scheduler

import (
	"math"
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// wholeParts is what coldMay gives a broker, in parts, of an even share of so many.
func wholeParts(parts float64, me, n int, node uint32) float64 {
	const ramp, window, unit = 18_000.0, 1500.0, 100.0
	s := Settings{BrokerIndex: me, BrokerCount: n, SlowStart: SlowStartSettings{InitialCapacity: 1, Duration: ramp, Window: window}}
	s.SlowStart.WorkMultiple = parts * unit * float64(n) / allowanceMargin / s.SlowStart.Window
	b := &Scheduler{settings: s, costs: costModel{meanHint: unit}, slowStart: newSlowStart(s.SlowStart, n)}
	b.slowStart.startedAt = -ramp
	may, _ := b.warmupQuotaMs(1, &replica{Endpoint: Endpoint{Replica: node}, warmup: warmupState{startedAt: 1}}, 1)
	return may / unit
}

// TestTurnsStayWithinTheAllowance: all brokers that use whatever their turns give them send no more in any window than
// what their shares add up to, and a part; with a tenth more of them than each is told, a tenth more and a part. A turn is of
// the node and the broker alone: it does not move, so that no window sees more than one, whatever their clocks say.
func TestTurnsStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := rapid.IntRange(5, 1000).Draw(t, "told")
		n := told + rapid.IntRange(0, told/10).Draw(t, "more")
		parts := rapid.Float64Range(0.001, 1.999).Draw(t, "parts")
		node := rapid.Uint32().Draw(t, "node")
		sum := 0.0
		for me := range n {
			sum += wholeParts(parts, me%told, told, node)
		}
		assert.LessOrEqual(t, sum, float64(told)*parts+float64(n-told)*(math.Floor(parts)+1)+1, "%d brokers", n)
		assert.GreaterOrEqual(t, sum, float64(told)*parts-1, "none of it is lost to rounding")
	})
}

// TestTurnsAreSpread: of many nodes that start at one moment each broker may send some a part, and none has many more than
// another.
func TestTurnsAreSpread(t *testing.T) {
	const n, nodes, parts = 300, 120, 0.1
	least, most := math.Inf(1), 0.0
	for me := range n {
		sum := 0.0
		for node := range uint32(nodes) {
			sum += wholeParts(parts, me, n, node)
		}
		least, most = math.Min(least, sum), math.Max(most, sum)
	}
	assert.GreaterOrEqual(t, least, 0.8*nodes*parts)
	assert.LessOrEqual(t, most, 1.2*nodes*parts)
}

// TestJammedShardIsLeftOut: all replicas of shard 0 are jammed, the others are quick. A query of twelve parts whose answer
// may lack some is let in without asking shard 0, and answered in part as soon as the others are in; one that has to be
// whole is refused; and where the others are held too, so is the first.
func TestJammedShardIsLeftOut(t *testing.T) {
	s := settings()
	s.Shards, s.Cells, s.CellsPerShard, s.CanCancel = 12, 12, 1, false
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	stuck := map[uint32]bool{1: true}
	reply := func(a *rigSend) {
		if !stuck[a.replica] {
			g.after(40)(a)
		}
	}
	jam := func() {
		for range 6 {
			g.query(0, 0)
			g.turn()
		}
		g.pass(300, reply)
	}
	jam()
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11}
	part, whole := g.query(1, all...), g.query(0, 0, 1)
	g.turn()
	assert.Equal(t, "refuse", whole.how)
	assert.Empty(t, part.parts[0].sends, "shard 0 is not asked")
	assert.Empty(t, part.how)
	begin := g.now
	g.pass(200, reply)
	assert.Equal(t, "answer", part.how)
	assert.False(t, part.whole)
	assert.Less(t, part.finished-begin, 150.0, "it does not wait for what was not asked")

	for _, r := range []uint32{3, 5, 7, 9, 11} { // now half of the others are held, under the bound
		stuck[r] = true
		for range 6 {
			g.query(0, int(r-1))
		}
	}
	g.turn()
	g.pass(220, reply)
	busy := g.query(1, all...)
	g.turn()
	assert.Equal(t, "refuse", busy.how)
}
