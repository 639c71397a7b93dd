package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestTenantOverQuotaIsRejectedFirst checks that an overloaded broker rejects queries of a tenant beyond its quota
// before those of a tenant within its quota.
func TestTenantOverQuotaIsRejectedFirst(t *testing.T) {
	withoutQuotas := runTenantSurge(t, 1)
	withQuotas := runTenantSurge(t, 0.1)
	if withoutQuotas[1] < 8 || float64(withQuotas[1]) > 0.7*float64(withoutQuotas[1]) || withQuotas[0] < withQuotas[1] {
		t.Fatalf("rejected queries of the surging tenant and of the other: %v, without quotas %v", withQuotas, withoutQuotas)
	}
}

// runTenantSurge submits seven queries of tenant 0 for each query of tenant 1, first while the fleet is fast and then
// while it is slow. It returns the rejected queries by tenant while the fleet is slow. None may be rejected before.
func runTenantSurge(t *testing.T, overQuotaFactor float64) [2]int {
	t.Helper()
	settings := testSettings()
	settings.BrokerCount = 1
	settings.TenantRates = []float64{10, 10}
	settings.OverQuotaFactor = overQuotaFactor
	h := newHarness(t, settings)
	h.listFleet(UpdateFull)
	h.learnBaseline()
	countRejected := func(intervalMs, latencyMs float64) [2]int {
		var rejected [2]int
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
				before := len(h.rejected)
				h.runRound()
				rejected[tenant] += len(h.rejected) - before
			}
			h.advance(intervalMs, h.replyAfter(latencyMs))
		}
		return rejected
	}
	rejected := countRejected(200, 60)
	if rejected[0]+rejected[1] > 0 {
		t.Fatalf("rejected queries by tenant on a fast fleet: %v", rejected)
	}
	return countRejected(50, 350)
}

// TestTokenBucketHoldsOneSecond checks that a bucket holds at most the tokens of one second, but at least one, so
// that rates below one per second are served too. A failed take costs no token.
func TestTokenBucketHoldsOneSecond(t *testing.T) {
	for rate, wants := range map[float64][]bool{
		0:   {false, false, false, false, false},
		0.5: {true, false, false, false, true},
		2:   {true, true, false, true, true},
	} {
		var bucket tokenBucket
		for i, afterMs := range []float64{0, 0, 0, 500, 2000} {
			assert.Equal(t, wants[i], bucket.take(1e6+afterMs, rate), "rate %v, take %d", rate, i)
		}
	}
}

// TestTenantQuotaIsDividedAmongBrokers checks that each broker admits an equal part of a tenant's rate and that
// unknown tenants have no quota.
func TestTenantQuotaIsDividedAmongBrokers(t *testing.T) {
	quotas := newTenantQuotas([]float64{10, 100}, 2)
	for tenant, want := range map[int]int{-1: 60, 0: 5, 1: 50, 2: 60} {
		admitted := 0
		for range 60 {
			if quotas.admit(1e6, tenant) {
				admitted++
			}
		}
		assert.Equal(t, want, admitted, "tenant %d", tenant)
	}
}
