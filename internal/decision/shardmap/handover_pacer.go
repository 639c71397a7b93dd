package shardmap

// HandoverPacer decides when a shard may be handed over to a backend, so that a backend that is warming up is not
// given more than it can serve. It has no clock; times are ms.
type HandoverPacer struct {
	MaxConcurrent   int     // handovers to one backend at a time; 1 if less
	InitialCapacity float64 // fraction of its capacity with which a backend starts, 0 to 1
	WarmupMs        float64 // ms after which a backend has its full capacity; 0: at once
}

// HandoverTarget is the state of a backend to which a shard may be handed over.
type HandoverTarget struct {
	StartedAtMs         float64 // when its process started; 0: long ago
	Buckets             int     // buckets of the shards that it executes
	HandoversInProgress int     // handovers to it that have not ended
}

// MayHandOver reports whether a shard of so many buckets may be handed over to target now. typicalBuckets is how many
// buckets a warm backend executes: one that is warming up gets at most its present fraction of them.
func (p HandoverPacer) MayHandOver(now float64, target HandoverTarget, buckets, typicalBuckets int) bool {
	if target.HandoversInProgress >= max(p.MaxConcurrent, 1) {
		return false
	}
	warm := target.StartedAtMs <= 0 || p.WarmupMs <= 0 || now >= target.StartedAtMs+p.WarmupMs
	if warm {
		return true
	}
	uptimeMs := max(0, now-target.StartedAtMs)
	capacity := p.InitialCapacity + (1-p.InitialCapacity)*uptimeMs/p.WarmupMs
	return float64(target.Buckets+buckets) <= capacity*float64(typicalBuckets)
}
