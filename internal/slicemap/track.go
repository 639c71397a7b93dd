package slicemap

import "fmt"

// RerouteDecision says what may become of a leg that is not in.
type RerouteDecision uint8

// The verdicts.
const (
	KeepShard       RerouteDecision = iota // its slice still holds it: whoever holds the slice now may be tried
	ReplaceSegments                        // its districts are other slices' now
	NeverRetry                             // it may have run and must not run twice: nothing of it goes out again
)

// Reroute decides on a leg of which nothing is out: whether a further try is allowed, and against which slices
// of the map in use. once tells that it must not run twice, mayHaveRun that an attempt is not proved never to
// have. legs is what takes its place under Replace, appended to dst.
func (m *Map) Reroute(dst []Segment, l Segment, once, mayHaveRun bool) (legs []Segment, v RerouteDecision) {
	if once && mayHaveRun {
		return dst, NeverRetry
	}
	if s := m.now[l.Shard]; s != nil && s.Contains(l.Range) {
		return dst, KeepShard
	}
	return m.cur.Route(dst, l.Shard, l.Range), ReplaceSegments
}

const (
	lateMost  = 400.0 // ms that a leg waits for the epoch a node told of, once every holder was asked
	pauseLate = 10.0  // ms before the next try where the nodes are late, once every holder was asked
	pauseMost = 160.0 // ms: such pauses double up to this
)

// RetryWait is what follows on a node's word that it does not hold the districts of a leg.
type RetryWait struct {
	Delay      float64 // ms in which the leg is not tried again
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
	m.stats.Moved++
	s := m.now[l.Shard]
	if s == nil || s.Since != routed {
		return RetryWait{} // the map has moved on since the leg went out: the next try goes by it
	}
	// A move takes one holder of several: the others are asked at once, and only then is there something to wait
	// for. Guards a leg against a pause that costs it its aim.
	rest := n - len(s.Replicas)
	w := RetryWait{}
	if rest >= 0 {
		w.Delay = min(pauseLate*float64(int(1)<<min(rest, 10)), pauseMost)
	}
	switch {
	case node > m.cur.Epoch:
		// We are late. What the node knows ends the wait; guards against a crowd of tries by an old map.
		m.stats.MapLate++
		if w.ReadEpoch = node; rest >= 0 {
			w.Delay, w.UntilEpoch = lateMost, node
		}
	case node < routed:
		m.stats.NodeLate++
	default:
		m.stats.Disagree++
	}
	return w
}

// Coverage is one part as its client asked for it: districts that are in only together.
type Coverage struct {
	Range
	open []Range // legs that are not in; together with what is in they are Range, without overlap
}

// NewCoverage makes the unit of a part that goes out as these legs.
func NewCoverage(r Range, legs []Segment) *Coverage {
	u := &Coverage{Range: r}
	for _, l := range legs {
		u.open = append(u.open, l.Range)
	}
	return u
}

func (u *Coverage) take(r Range) error {
	for i, o := range u.open {
		if o == r {
			u.open = append(u.open[:i], u.open[i+1:]...)
			return nil
		}
	}
	return fmt.Errorf("districts %v of the part %v are not out: they would count twice", r, u.Range)
}

// Arrived takes a leg's answer and tells whether the part is whole. An error tells that its districts are in
// already.
func (u *Coverage) Arrived(r Range) (whole bool, err error) {
	if err := u.take(r); err != nil {
		return false, err
	}
	return len(u.open) == 0, nil
}

// Replace puts legs in a leg's place. They must be the same districts.
func (u *Coverage) Replace(r Range, legs []Segment) error {
	at := r.Start
	for _, l := range legs {
		if l.Start != at {
			return fmt.Errorf("legs %v do not make up %v", legs, r)
		}
		at = l.End
	}
	if at != r.End {
		return fmt.Errorf("legs %v do not make up %v", legs, r)
	}
	if err := u.take(r); err != nil {
		return err
	}
	for _, l := range legs {
		u.open = append(u.open, l.Range)
	}
	return nil
}

// Complete tells that all districts are in.
func (u *Coverage) Complete() bool { return len(u.open) == 0 }
