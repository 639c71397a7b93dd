package slicemap

const (
	lateMost  = 400.0 // ms that a leg waits for the epoch a node told of, once every holder was asked
	pauseLate = 10.0  // ms before the next try where the nodes are late, once every holder was asked
	pauseMost = 160.0 // ms: such pauses double up to this
)

// RetryWait is what follows on a node's word that it does not hold the districts of a leg.
type RetryWait struct {
	DelayMs    float64 // ms in which the leg is not tried again
	UntilEpoch uint64  // an epoch that ends the pause sooner; 0 for none
	ReadEpoch  uint64  // the source knows an epoch as new as this: read it; 0 for no need
}

// RoutingEpoch is the epoch that a leg carries when it goes out: that of its slice's last change, so that a node
// which is behind with news of other slices is not taken to be behind with this one.
func (m *Map) RoutingEpoch(l Segment) uint64 {
	if s := m.now[l.Shard]; s != nil {
		return s.Since
	}
	return m.cur.Epoch
}

// OnNotHolder decides on a leg that was routed by one epoch and refused by a node at another, for the n-th
// time in a row, from 1. The module's own choice puts a node that was tried last.
func (m *Map) OnNotHolder(l Segment, routed, node uint64, n int) RetryWait {
	m.stats.NotHolder++
	s := m.now[l.Shard]
	if s == nil || s.Since != routed {
		return RetryWait{} // the map has moved on since the leg went out: the next try goes by it
	}
	// A move takes one holder of several: the others are asked at once, and only then is there something to wait
	// for. Guards a leg against a pause that costs it its aim.
	rest := n - len(s.Replicas)
	w := RetryWait{}
	if rest >= 0 {
		w.DelayMs = min(pauseLate*float64(int(1)<<min(rest, 10)), pauseMost)
	}
	switch {
	case node > m.cur.Epoch:
		// We are late. What the node knows ends the wait; guards against a crowd of tries by an old map.
		m.stats.MapBehind++
		if w.ReadEpoch = node; rest >= 0 {
			w.DelayMs, w.UntilEpoch = lateMost, node
		}
	case node < routed:
		m.stats.BackendBehind++
	default:
		m.stats.SameEpoch++
	}
	return w
}
