package slicemap

import "fmt"

// Range is the districts from Lo up to, but not with, Hi.
type Range struct {
	Start int `json:"lo"`
	End   int `json:"hi"`
}

// Contains tells whether all districts of o are in r.
func (r Range) Contains(o Range) bool { return r.Start <= o.Start && o.End <= r.End }

// Overlaps tells whether a district is in both.
func (r Range) Overlaps(o Range) bool { return r.Start < o.End && o.Start < r.End }

// Size is how many districts there are in it.
func (r Range) Size() int { return r.End - r.Start }

// String shows it as in messages: lo-hi, hi not included.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.Start, r.End) }
