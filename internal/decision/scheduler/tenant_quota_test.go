package scheduler

import "testing"

// A tenant's surge is turned away before others' queries where something must be refused, and only then.
func TestTenantOverQuotaIsRejectedFirst(t *testing.T) {
	even, fair := runTenantSurge(t, 1), runTenantSurge(t, 0.1)
	if even[1] < 8 || float64(fair[1]) > 0.7*float64(even[1]) || fair[0] < fair[1] {
		t.Fatalf("refused of the surging tenant and of the other: %v, and %v if all were worth the same", fair, even)
	}
}

// runTenantSurge has one of two tenants ask seven times as much as the other of a fleet that gets slow, and tells whose queries
// were refused.
func runTenantSurge(t *testing.T, overShare float64) [2]int {
	settings := testSettings()
	settings.BrokerCount, settings.TenantRates, settings.OverQuotaFactor = 1, []float64{10, 10}, overShare
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	count := func(tick float64, reply float64) (refused [2]int) {
		for i := range 60 {
			for n := range 8 {
				tenant := 0
				if n == 7 {
					tenant = 1
				}
				h.nextID++
				q := &testQuery{Query: Query{ID: h.nextID, QueryGroup: int(h.nextID), Tenant: tenant, Deadline: h.now + 3000}}
				h.queries[q.Query.ID] = q
				h.scheduler.QueryArrived(h.now, q.Query)
				h.addPart(q, (i+n)%6, 100, 1)
				was := len(h.rejected)
				h.runRound()
				refused[tenant] += len(h.rejected) - was
			}
			h.advance(tick, h.replyAfter(reply))
		}
		return refused
	}
	if r := count(200, 60); r[0]+r[1] > 0 {
		t.Fatalf("refused with room to spare: %v", r)
	}
	return count(50, 350)
}
