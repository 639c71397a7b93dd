package scheduler

// tokenBucket is a token bucket that holds at most the tokens of one second, but at least one.
type tokenBucket struct {
	refilledAt float64
	tokens     float64
}

// take refills the bucket at a rate in tokens per second and takes one token. It reports whether there was one.
func (b *tokenBucket) take(now, ratePerSecond float64) bool {
	refilled := b.tokens + (now-b.refilledAt)/1000*ratePerSecond
	b.tokens = min(refilled, max(ratePerSecond, 1))
	b.refilledAt = now
	b.tokens--
	if b.tokens < 0 {
		b.tokens++
		return false
	}
	return true
}

// tenantQuotas limits how many queries of each tenant keep their full priority. The quota of a tenant is divided
// evenly among the brokers, as no broker sees the traffic of the others.
type tenantQuotas struct {
	ratesPerSecond []float64 // by tenant, over all brokers
	brokers        float64
	buckets        []tokenBucket
}

func newTenantQuotas(ratesPerSecond []float64, brokers int) tenantQuotas {
	return tenantQuotas{
		ratesPerSecond: ratesPerSecond,
		brokers:        float64(brokers),
		buckets:        make([]tokenBucket, len(ratesPerSecond)),
	}
}

// admit counts a query of a tenant and reports whether it is within the quota. Unknown tenants have no quota.
func (t *tenantQuotas) admit(now float64, tenant int) bool {
	if tenant < 0 || tenant >= len(t.buckets) {
		return true
	}
	return t.buckets[tenant].take(now, t.ratesPerSecond[tenant]/t.brokers)
}
