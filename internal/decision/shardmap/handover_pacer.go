package shardmap

// HandoverPacer decides when a shard may be handed over to a backend, so that a backend that is warming up does not
// get more shards than it can serve. It has no clock; times are in ms.
type HandoverPacer struct {
	MaxConcurrent   int     // limit of handovers to one backend at a time; less than 1 means 1
	InitialCapacity float64 // fraction of its capacity that a backend has at its start, 0 to 1
	WarmupMs        float64 // time from a backend's start to its full capacity; 0 means full capacity at once
}

// HandoverTarget describes a backend to which a shard may be handed over.
type HandoverTarget struct {
	StartedAtMs         float64 // when its process started; 0 means long ago
	Buckets             int     // number of buckets in the shards that it executes
	HandoversInProgress int     // number of handovers to it that have not ended
}

// MayHandOver reports whether a shard with the given number of buckets may be handed over to target now.
// typicalBuckets is the number of buckets that a warm backend executes. A backend that is warming up executes at most
// the fraction of typicalBuckets that equals its present fraction of capacity.
func (p HandoverPacer) MayHandOver(now float64, target HandoverTarget, buckets, typicalBuckets int) bool {
	if target.HandoversInProgress >= max(p.MaxConcurrent, 1) {
		return false
	}
	isWarm := target.StartedAtMs <= 0 || p.WarmupMs <= 0 || now >= target.StartedAtMs+p.WarmupMs
	if isWarm {
		return true
	}
	uptimeMs := max(0, now-target.StartedAtMs)
	capacityFraction := p.InitialCapacity + (1-p.InitialCapacity)*uptimeMs/p.WarmupMs
	return float64(target.Buckets+buckets) <= capacityFraction*float64(typicalBuckets)
}
