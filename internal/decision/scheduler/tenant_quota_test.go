package scheduler

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestTenantOverQuotaIsRejectedFirst guarantees that, where something must be rejected, a tenant's surge is rejected
// before the queries of a tenant within its quota.
func TestTenantOverQuotaIsRejectedFirst(t *testing.T) {
	without := runTenantSurge(t, 1)
	with := runTenantSurge(t, 0.1)
	if without[1] < 8 || float64(with[1]) > 0.7*float64(without[1]) || with[0] < with[1] {
		t.Fatalf("rejected queries of the surging tenant and of the other: %v, without quotas %v", with, without)
	}
}

// runTenantSurge has tenant 0 submit seven times as many queries as tenant 1 to a fleet that becomes slow, and counts
// the rejected queries by tenant. Nothing may be rejected while the fleet is fast.
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

// TestTokenBucketHoldsOneSecond guarantees that a bucket saves up one second's worth of tokens at most, and one at
// least, so that slow rates are served too; a refusal costs nothing.
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

// TestTenantQuotaIsDividedAmongBrokers guarantees that each broker admits its even part of a tenant's rate, and that
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
