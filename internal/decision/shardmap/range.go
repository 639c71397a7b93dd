package shardmap

import "fmt"

// Range is the half-open interval of buckets [Start, End).
type Range struct {
	Start int `json:"lo"` // first bucket
	End   int `json:"hi"` // first bucket after the range
}

// Contains reports whether every bucket of other is in r.
func (r Range) Contains(other Range) bool { return r.Start <= other.Start && other.End <= r.End }

// Overlaps reports whether r and other have a bucket in common.
func (r Range) Overlaps(other Range) bool { return r.Start < other.End && other.Start < r.End }

// Size returns the number of buckets in r.
func (r Range) Size() int { return r.End - r.Start }

// String formats r as Start-End, the form that backend frames and messages use.
func (r Range) String() string { return fmt.Sprintf("%d-%d", r.Start, r.End) }
