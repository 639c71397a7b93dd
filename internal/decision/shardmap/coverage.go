package shardmap

import (
	"fmt"
	"slices"
)

// Coverage tracks which buckets of one part have been answered. The part counts only when all of them have been, and
// no bucket counts twice.
//
// Invariant: every bucket of the Range is either answered or in exactly one pending segment.
type Coverage struct {
	Range
	pending []Range
}

// NewCoverage returns the coverage of a part that is sent as the given segments. They must cover its range without
// overlap.
func NewCoverage(part Range, segments []Segment) *Coverage {
	coverage := &Coverage{Range: part}
	coverage.add(segments)
	return coverage
}

// Arrived records the answer to a segment and reports whether the part is complete. It fails if the segment is not
// pending, as its buckets would count twice.
func (c *Coverage) Arrived(segment Range) (complete bool, err error) {
	if err := c.remove(segment); err != nil {
		return false, err
	}
	return c.Complete(), nil
}

// Replace replaces a pending segment by others. It fails, and changes nothing, if the segment is not pending or if
// the replacements, in their order, do not exactly cover its buckets.
func (c *Coverage) Replace(segment Range, replacements []Segment) error {
	nextBucket := segment.Start
	for _, replacement := range replacements {
		if replacement.Start != nextBucket {
			return fmt.Errorf("segments %v do not exactly cover buckets %v", replacements, segment)
		}
		nextBucket = replacement.End
	}
	if nextBucket != segment.End {
		return fmt.Errorf("segments %v do not exactly cover buckets %v", replacements, segment)
	}
	if err := c.remove(segment); err != nil {
		return err
	}
	c.add(replacements)
	return nil
}

// Complete reports whether all buckets have been answered.
func (c *Coverage) Complete() bool { return len(c.pending) == 0 }

func (c *Coverage) add(segments []Segment) {
	for _, segment := range segments {
		c.pending = append(c.pending, segment.Range)
	}
}

func (c *Coverage) remove(segment Range) error {
	i := slices.Index(c.pending, segment)
	if i < 0 {
		return fmt.Errorf("buckets %v of part %v are not pending: they would count twice", segment, c.Range)
	}
	c.pending = slices.Delete(c.pending, i, i+1)
	return nil
}
