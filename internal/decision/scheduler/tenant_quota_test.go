package scheduler

import "testing"

// A tenant's surge is turned away before others' queries where something must be refused, and only then.
func TestTenantSurgeIsRefusedFirst(t *testing.T) {
	even, fair := surge(t, 1), surge(t, 0.1)
	if even[1] < 8 || float64(fair[1]) > 0.7*float64(even[1]) || fair[0] < fair[1] {
		t.Fatalf("refused of the surging tenant and of the other: %v, and %v if all were worth the same", fair, even)
	}
}

// surge has one of two tenants ask seven times as much as the other of a fleet that gets slow, and tells whose queries
// were refused.
func surge(t *testing.T, overShare float64) [2]int {
	s := settings()
	s.BrokerCount, s.TenantRates, s.OverQuotaFactor = 1, []float64{10, 10}, overShare
	g := newRig(t, s)
	g.fleet(UpdateFull)
	g.warm()
	count := func(tick float64, reply float64) (refused [2]int) {
		for i := range 60 {
			for n := range 8 {
				tenant := 0
				if n == 7 {
					tenant = 1
				}
				g.next++
				q := &rigQuery{q: Query{ID: g.next, QueryGroup: int(g.next), Tenant: tenant, Deadline: g.now + 3000}}
				g.queries[q.q.ID] = q
				g.b.QueryArrived(g.now, q.q)
				g.part(q, (i+n)%6, 100, 1)
				was := len(g.refused)
				g.turn()
				refused[tenant] += len(g.refused) - was
			}
			g.pass(tick, g.after(reply))
		}
		return refused
	}
	if r := count(200, 60); r[0]+r[1] > 0 {
		t.Fatalf("refused with room to spare: %v", r)
	}
	return count(50, 350)
}
