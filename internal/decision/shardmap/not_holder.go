package shardmap

// The delays before the next attempt of a segment, once every replica of its shard has replied not-holder.
const (
	newerEpochWaitMs    = 400.0 // longest wait for the newer epoch that a backend reported
	notHolderDelayMinMs = 10.0  // first delay if no newer epoch was reported; doubles with each further reply
	notHolderDelayMaxMs = 160.0 // limit of the doubled delay
)

// RetryWait says what to do before the next attempt of a segment, after a backend replied that it does not hold the
// segment's buckets.
type RetryWait struct {
	DelayMs    float64 // delay before the segment may be sent again; 0 for none
	UntilEpoch uint64  // epoch of the map that ends the delay early; 0 for none
	ReadEpoch  uint64  // the source has this epoch or a newer one and should be polled; 0 for none
}

// RoutingEpoch returns the epoch with which a segment is sent: the epoch of the last change to its shard. A backend
// rejects a segment if its own map is older than that. If segments were sent with the epoch of the map, backends
// would also reject them because of changes to other shards.
func (m *Map) RoutingEpoch(segment Segment) uint64 {
	if shard := m.shards[segment.Shard]; shard != nil {
		return shard.Since
	}
	return m.current.Epoch
}

// OnNotHolder handles a not-holder reply to a segment that was sent with routedEpoch, from a backend whose map is at
// backendEpoch. consecutiveReplies counts the not-holder replies to the segment in a row, this one included.
//
// A move replaces only one of several replicas, so the others are asked without delay. A delay follows only after as
// many replies as the shard has replicas. By then all have been asked, as the scheduler prefers replicas that the
// part was not sent to.
func (m *Map) OnNotHolder(segment Segment, routedEpoch, backendEpoch uint64, consecutiveReplies int) RetryWait {
	m.stats.NotHolder++
	shard := m.shards[segment.Shard]
	if shard == nil || shard.Since != routedEpoch {
		return RetryWait{} // the shard has changed since: the next attempt uses its new state
	}
	extraReplies := consecutiveReplies - len(shard.Replicas)
	allReplicasAsked := extraReplies >= 0
	wait := RetryWait{}
	if allReplicasAsked {
		wait.DelayMs = min(notHolderDelayMinMs*float64(int(1)<<min(extraReplies, maxDoublings)), notHolderDelayMaxMs)
	}
	switch {
	case backendEpoch > m.current.Epoch:
		m.stats.MapBehind++
		wait.ReadEpoch = backendEpoch
		if allReplicasAsked { // attempts by the old map would only be rejected again
			wait.DelayMs = newerEpochWaitMs
			wait.UntilEpoch = backendEpoch
		}
	case backendEpoch < routedEpoch:
		m.stats.BackendBehind++
	default:
		m.stats.SameEpoch++
	}
	return wait
}
