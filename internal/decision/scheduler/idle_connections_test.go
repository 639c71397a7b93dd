package scheduler

import (
	"strings"
	"testing"
)

// Connections dropped while idle: a reset at once is not the replica's fault, the part is tried again at once, and
// later sends on idle connections close them first. The replica stays in use and is not taken for cold.
func TestResetOfAnIdleConnectionIsNotTheReplicas(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	for id := uint32(1); id <= 6; id++ { // every connection has carried something
		g.b.replicas.byID[id].lastUsedAt = g.now
	}
	g.pass(3000, nil)
	q := g.query(0, 0)
	g.turn()
	first := g.open[0]
	g.pass(5, nil)
	g.end(first, ConnectionReset)
	g.turn()
	if len(g.open) != 1 {
		t.Fatalf("%d attempts out after the reset, 1 wanted", len(g.open))
	}
	if r := g.b.replicas.byID[first.replica]; !g.b.isHealthy(g.now, r) || r.outliers.isLost {
		t.Fatal("the replica is blamed for its idle connection")
	}
	g.pass(200, g.after(90))
	g.mustEnd(q, "answer")
	g.pass(2000, nil)
	g.query(2, 1)
	g.turn()
	drops := 0
	for _, l := range g.log {
		if strings.Contains(l, " drop ") {
			drops++
		}
	}
	if drops == 0 {
		t.Fatal("an unsafe part went out on a doubtful connection")
	}
}

// Parts that go out beside one on a connection that was idle share its fate: their resets are not the replica's.
func TestPartsBesideOneOnAnIdleConnectionShareItsFate(t *testing.T) {
	s := settings()
	s.CellsPerShard, s.MaxPartsPerCall, s.BrokerCount = 1, 1, 40
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	g.b.replicas.byID[1].lastUsedAt = g.now
	g.pass(3000, nil)
	q := g.query(0, 0)
	g.turn()
	g.query(0, 0)
	g.turn()
	for _, a := range append([]*rigSend(nil), g.open...) {
		g.end(a, ConnectionReset)
	}
	if r := g.b.replicas.byID[1]; r.outliers.isLost || !g.b.isHealthy(g.now, r) {
		t.Fatal("the replica is blamed for a second part on its idle connection")
	}
	g.turn()
	g.pass(300, g.after(90))
	g.mustEnd(q, "answer")
}

// Connections dropped in silence: parts on idle ones hang. Two in a row close idle connections before later sends, and the
// replicas stay in use; dials that then time out end that, as new connections are dear.
func TestSilentIdleDropsAreFoundAndSlowHandshakesEndTheCure(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	drops := func() (n int) {
		for _, l := range g.log {
			if strings.Contains(l, " drop ") {
				n++
			}
		}
		return n
	}
	for i := 0; i < 6; i++ {
		for id := uint32(1); id <= 6; id++ {
			g.b.replicas.byID[id].lastUsedAt = g.now
		}
		g.pass(3000, nil)
		g.query(0, i)
		g.turn()
		g.pass(1500, func(a *rigSend) { // what goes out on an idle connection hangs, copies and closed ones do not
			if g.now >= a.at+90 && (drops() > 0 || a.no > 0) {
				g.end(a, Succeeded)
			}
		})
	}
	if drops() == 0 {
		t.Fatal("idle connections that hang are never closed")
	}
	g.pass(4000, nil)
	for _, r := range g.b.replicas.ordered {
		if !g.b.isHealthy(g.now, r) {
			t.Errorf("replica %d is still a suspect", r.Replica)
		}
	}
	for i := 0; i < 3 && len(g.b.replicas.ordered) > 0; i++ {
		g.query(0, i)
		g.turn()
		g.pass(250, nil)
		for _, a := range append([]*rigSend(nil), g.open...) {
			g.end(a, ConnectFailed)
		}
	}
	if g.b.idle.areUnsafe(g.now) {
		t.Error("idle connections are still closed though new ones cannot be had")
	}
}

// TestHungReplicasOfManyAreNoIdleDrops: a co-ordinator that meets each of 60 replicas every other second does so on
// connections that have been idle. Nine that hang are no sign that these are dropped; all that hang are.
func TestHungReplicasOfManyAreNoIdleDrops(t *testing.T) {
	for _, c := range []struct {
		hung  uint32
		drops bool
	}{{9, false}, {60, true}} {
		s := settings()
		s.BrokerCount, s.Cells, s.Shards, s.AllowHedging = 80, 60, 60, false
		g := newRig(t, s)
		g.fleet(UpdateFull)
		for i := range 30 {
			var shards []int
			for j := range 24 {
				shards = append(shards, (i*13+j)%60)
			}
			g.query(0, shards...)
			g.turn()
			bad := func(a *rigSend) bool { return i >= 10 && a.replica <= c.hung }
			g.pass(600, func(a *rigSend) {
				if g.now >= a.at+20 && !bad(a) {
					g.end(a, Succeeded)
				}
			})
		}
		dropped := 0
		for _, l := range g.log {
			if strings.Contains(l, " drop ") {
				dropped++
			}
		}
		if (dropped > 0) != c.drops {
			t.Errorf("%d of 60 hang: %d times closed", c.hung, dropped)
		}
	}
}
