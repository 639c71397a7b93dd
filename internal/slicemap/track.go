package slicemap

import "fmt"

// Verdict says what may become of a leg that is not in.
type Verdict uint8

// The verdicts.
const (
	Stay    Verdict = iota // its slice still holds it: whoever holds the slice now may be tried
	Replace                // its districts are other slices' now
	Never                  // it may have run and must not run twice: nothing of it goes out again
)

// Again decides on a leg of which nothing is out: whether a further try is allowed, and against which slices
// of the map in use. once tells that it must not run twice, mayHaveRun that an attempt is not proved never to
// have. legs is what takes its place under Replace, appended to dst.
func (m *Map) Again(dst []Leg, l Leg, once, mayHaveRun bool) (legs []Leg, v Verdict) {
	if once && mayHaveRun {
		return dst, Never
	}
	if s := m.now[l.Slice]; s != nil && s.Holds(l.Range) {
		return dst, Stay
	}
	return m.cur.Route(dst, l.Slice, l.Range), Replace
}

const (
	lateMost  = 400.0 // ms that a leg waits for the epoch a node told of, once every holder was asked
	pauseLate = 10.0  // ms before the next try where the nodes are late, once every holder was asked
	pauseMost = 160.0 // ms: such pauses double up to this
)

// Wait is what follows on a node's word that it does not hold the districts of a leg.
type Wait struct {
	Pause float64 // ms in which the leg is not tried again
	Until uint64  // an epoch that ends the pause sooner; 0 for none
	Read  uint64  // the source knows an epoch as new as this: read it; 0 for no need
}

// Routed is the epoch that a leg carries when it goes out: that of its slice's last change, so that a node
// which is behind with news of other slices is not taken to be behind with this one.
func (m *Map) Routed(l Leg) uint64 {
	if s := m.now[l.Slice]; s != nil {
		return s.Since
	}
	return m.cur.Epoch
}

// AfterMoved decides on a leg that was routed by one epoch and refused by a node at another, for the n-th
// time in a row, from 1. The module's own choice puts a node that was tried last.
func (m *Map) AfterMoved(l Leg, routed, node uint64, n int) Wait {
	m.stats.Moved++
	s := m.now[l.Slice]
	if s == nil || s.Since != routed {
		return Wait{} // the map has moved on since the leg went out: the next try goes by it
	}
	// A move takes one holder of several: the others are asked at once, and only then is there something to wait
	// for. Guards a leg against a pause that costs it its aim.
	rest := n - len(s.Holders)
	w := Wait{}
	if rest >= 0 {
		w.Pause = min(pauseLate*float64(int(1)<<min(rest, 10)), pauseMost)
	}
	switch {
	case node > m.cur.Epoch:
		// We are late. What the node knows ends the wait; guards against a crowd of tries by an old map.
		m.stats.MapLate++
		if w.Read = node; rest >= 0 {
			w.Pause, w.Until = lateMost, node
		}
	case node < routed:
		m.stats.NodeLate++
	default:
		m.stats.Disagree++
	}
	return w
}

// Unit is one part as its client asked for it: districts that are in only together.
type Unit struct {
	Range
	open []Range // legs that are not in; together with what is in they are Range, without overlap
}

// NewUnit makes the unit of a part that goes out as these legs.
func NewUnit(r Range, legs []Leg) *Unit {
	u := &Unit{Range: r}
	for _, l := range legs {
		u.open = append(u.open, l.Range)
	}
	return u
}

func (u *Unit) take(r Range) error {
	for i, o := range u.open {
		if o == r {
			u.open = append(u.open[:i], u.open[i+1:]...)
			return nil
		}
	}
	return fmt.Errorf("districts %v of the part %v are not out: they would count twice", r, u.Range)
}

// In takes a leg's answer and tells whether the part is whole. An error tells that its districts are in
// already.
func (u *Unit) In(r Range) (whole bool, err error) {
	if err := u.take(r); err != nil {
		return false, err
	}
	return len(u.open) == 0, nil
}

// Replace puts legs in a leg's place. They must be the same districts.
func (u *Unit) Replace(r Range, legs []Leg) error {
	at := r.Lo
	for _, l := range legs {
		if l.Lo != at {
			return fmt.Errorf("legs %v do not make up %v", legs, r)
		}
		at = l.Hi
	}
	if at != r.Hi {
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

// Whole tells that all districts are in.
func (u *Unit) Whole() bool { return len(u.open) == 0 }
