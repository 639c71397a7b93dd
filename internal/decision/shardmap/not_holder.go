package shardmap

// The delays before a segment is sent again, once every replica of its shard has replied not-holder.
const (
	newerEpochWaitMs    = 400.0 // at most, for the newer epoch that a backend named
	notHolderDelayMinMs = 10.0  // where no newer epoch was named; it doubles with each further reply
	notHolderDelayMaxMs = 160.0
)

// RetryWait is what follows from a backend's reply that it does not hold the buckets of a segment.
type RetryWait struct {
	DelayMs    float64 // ms in which the segment is not sent again; 0: it may be sent at once
	UntilEpoch uint64  // version of the map that ends the delay early; 0 for none
	ReadEpoch  uint64  // the source has a version as new as this, which should be read; 0 for none
}

// RoutingEpoch is the epoch with which a segment is sent: that of its shard's last change. A backend rejects a segment
// if its own map is older; with the epoch of the map itself it would also reject segments because of changes to other
// shards.
func (m *Map) RoutingEpoch(segment Segment) uint64 {
	if shard := m.shards[segment.Shard]; shard != nil {
		return shard.Since
	}
	return m.current.Epoch
}

// OnNotHolder decides on a not-holder reply to a segment that was sent with epoch routed, from a backend whose map is
// at epoch backend. consecutive counts the not-holder replies to the segment in a row, this one included.
//
// A move takes one of several replicas, so the others are asked without delay: only after as many replies as the
// shard has replicas is there something to wait for. The scheduler puts a replica that was just tried last.
func (m *Map) OnNotHolder(segment Segment, routed, backend uint64, consecutive int) RetryWait {
	m.stats.NotHolder++
	shard := m.shards[segment.Shard]
	if shard == nil || shard.Since != routed {
		return RetryWait{} // the shard has changed since: the next attempt goes by its new state
	}
	excess := consecutive - len(shard.Replicas)
	allAsked := excess >= 0
	wait := RetryWait{}
	if allAsked {
		wait.DelayMs = min(notHolderDelayMinMs*float64(int(1)<<min(excess, maxDoublings)), notHolderDelayMaxMs)
	}
	switch {
	case backend > m.current.Epoch:
		m.stats.MapBehind++
		wait.ReadEpoch = backend
		if allAsked { // attempts by the old map would only be rejected again
			wait.DelayMs = newerEpochWaitMs
			wait.UntilEpoch = backend
		}
	case backend < routed:
		m.stats.BackendBehind++
	default:
		m.stats.SameEpoch++
	}
	return wait
}
