package cursor

// Span records how a page read the buckets from Start to End, without End. The struct tags are the keys in sealed
// cursors.
type Span struct {
	Start      int    `cbor:"1,keyasint"`
	End        int    `cbor:"2,keyasint"`
	Version    uint64 `cbor:"3,keyasint,omitempty"` // data version; 0 if the buckets were missing
	ShardEpoch uint64 `cbor:"4,keyasint,omitempty"` // epoch of the last change of the shard that held them
}

// joinAdjacent joins adjacent spans with equal version and shard epoch, so that sealed cursors stay short.
func joinAdjacent(spans []Span) []Span {
	var joined []Span
	for _, span := range spans {
		last := len(joined) - 1
		if last >= 0 && joined[last].End == span.Start && joined[last].Version == span.Version &&
			joined[last].ShardEpoch == span.ShardEpoch {
			joined[last].End = span.End
			continue
		}
		joined = append(joined, span)
	}
	return joined
}

// Changes lists the buckets that a page reads differently than the previous page did. If there are any, the first
// page would differ if it were read now. The spans have the current version and shard epoch.
type Changes struct {
	NowPresent []Span // missing on the previous page
	NowMissing []Span // present on the previous page
	Updated    []Span // present on both pages, at different data versions
}

// Any reports whether there are any changes.
func (c *Changes) Any() bool { return len(c.NowPresent)+len(c.NowMissing)+len(c.Updated) > 0 }

// Changes compares what the previous page read with what this page reads. It compares buckets, so it does not matter
// which shards held them then or hold them now.
func (c *Cursor) Changes(now []Span) Changes {
	var changes Changes
	for _, before := range c.Spans {
		for _, current := range now {
			common := Span{
				Start:      max(before.Start, current.Start),
				End:        min(before.End, current.End),
				Version:    current.Version,
				ShardEpoch: current.ShardEpoch,
			}
			if common.Start >= common.End || before.Version == current.Version {
				continue
			}
			switch {
			case before.Version == 0:
				changes.NowPresent = append(changes.NowPresent, common)
			case current.Version == 0:
				changes.NowMissing = append(changes.NowMissing, common)
			default:
				changes.Updated = append(changes.Updated, common)
			}
		}
	}
	return changes
}
