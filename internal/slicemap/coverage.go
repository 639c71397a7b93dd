package slicemap

import "fmt"

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
