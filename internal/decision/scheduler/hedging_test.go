package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestStalledReplicaIsHedgedButSharedSlownessIsNot(t *testing.T) {
	g := newRig(t, settings())
	g.fleet(UpdateFull)
	g.warm()
	q := g.query(0, 0)
	g.turn()
	first := q.parts[0].sends[0]
	g.pass(900, func(a *rigSend) {
		if a != first && g.now >= a.at+100 {
			g.end(a, Succeeded)
		}
	})
	g.mustEnd(q, "answer")
	if len(q.parts[0].sends) != 2 || q.parts[0].sends[1].replica == first.replica || !first.cancel {
		t.Fatalf("want one second copy elsewhere and the first cancelled: %v", g.log)
	}
	extra := len(g.extra)
	for range 40 { // all are six times slower: no replica is better than another
		g.query(0, 0, 1, 2, 3, 4, 5)
		g.turn()
		g.pass(100, g.after(600))
	}
	if n := len(g.extra) - extra; n > 12 {
		t.Fatalf("%d second copies while the whole fleet is slow", n)
	}
	ready := 0
	for _, r := range g.b.replicas.ordered {
		if g.b.normalizedLatency(g.now, r) < ejectionLatency*g.b.latency.fleetLevel {
			ready++
		}
	}
	if ready < 5 {
		t.Fatalf("only %d of 6 replicas left usable in a shared slowness", ready)
	}
}

// A part that hangs where no second copy may be out is given up, and tried elsewhere a while after that.
func TestLateSafePartMoves(t *testing.T) {
	s := settings()
	s.AllowHedging = false
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	var hung *rigSend
	safe, unsafe := g.query(0, 0), g.query(2, 3)
	g.turn()
	g.pass(900, func(a *rigSend) {
		if hung == nil {
			hung = a
		}
		if a != hung && a.part.q != unsafe {
			g.after(40)(a)
		}
	})
	g.mustEnd(safe, "answer")
	sends := safe.parts[0].sends
	if len(sends) != 2 || !sends[0].cancel || sends[1].at < sends[0].at+15 || len(unsafe.parts[0].sends) != 1 {
		t.Fatalf("%d sends of the safe part, %d of the other", len(sends), len(unsafe.parts[0].sends))
	}
}

// Retries never feed a jam: no second copy is made while parts wait for the same replicas, nor in a slow fleet after a
// refusal. A jam of other replicas does not stop it: one weak set would lose what is late everywhere.
func TestNoSecondCopyInAJam(t *testing.T) {
	for jam, want := range map[string]bool{"none": true, "elsewhere": true, "here": false, "slow fleet": false} {
		g := newRig(t, settings())
		g.fleet(UpdateFull)
		g.warm()
		g.query(0, 0)
		g.turn()
		group := g.b.settings.Placement.Group(0)
		for i := 0; i < 60 && len(g.open) < 2; i++ {
			switch g.b.congestedAt = g.now; jam {
			case "elsewhere":
				g.b.queues.activate(3, g.now).oldestQueuedAt = g.now - 100
			case "here":
				g.b.queuedSinceByGroup[group] = g.now - 100
				p := g.b.parts[g.open[0].part.p.ID]
				if g.b.hedge(g.now, p) {
					t.Fatal("a copy while a part waits for the same replicas")
				}
				i = 60
			case "slow fleet":
				g.b.latency.overloadMedian = slowFleetLevel + 1
			}
			g.pass(10, nil)
		}
		if copied := len(g.open) > 1; copied != want {
			t.Errorf("jam %s: copied %v", jam, copied)
		}
	}
}

// TestFullReplicasElsewhereBarNoMove: some replicas turn parts away all the time while another hangs. What hangs moves,
// as the fleet is quick and nothing waits at its set; in a fleet that is slow it keeps still.
func TestFullReplicasElsewhereBarNoMove(t *testing.T) {
	for _, slow := range []bool{false, true} {
		s := settings()
		s.AllowHedging, s.BrokerCount = false, 300
		g := newRig(t, s)
		g.fleet(UpdateFull)
		g.warm()
		took := 40.0
		if slow {
			took = 400
		}
		reply := func(a *rigSend) {
			switch {
			case a.replica >= 4 && a.no == 0:
				g.end(a, Rejected)
			case a.replica != 1:
				g.after(took)(a)
			case slow:
				g.after(took)(a)
			}
		}
		for range 30 {
			g.query(0, 3)
			g.turn()
			g.pass(50, reply)
		}
		moved := 0
		for range 20 { // the ties' dice send some of them to the one that hangs
			g.query(0, 3) // at 4, 5 and 6 all are turned away at first
			q := g.query(0, 0)
			g.turn()
			g.pass(500, reply)
			if sends := q.parts[0].sends; len(sends) > 1 && sends[0].cancel {
				moved++
			}
		}
		assert.Equal(t, !slow, moved > 0, "%d moved, slow %v", moved, slow)
	}
}
