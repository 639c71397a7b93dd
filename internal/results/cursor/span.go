package cursor

// Span is buckets from Start to End, End not included, as a page read them. It is sealed with its CBOR keys.
type Span struct {
	Start      int    `cbor:"1,keyasint"`
	End        int    `cbor:"2,keyasint"`
	Version    uint64 `cbor:"3,keyasint,omitempty"` // of the data; 0 if the buckets were missing
	ShardEpoch uint64 `cbor:"4,keyasint,omitempty"` // epoch of the last change of the shard that held them
}

// joinAdjacent joins spans that follow each other and were read alike, so that sealed cursors stay short.
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

// Changes are the buckets that a page reads otherwise than the page before. If there are any, the first page would
// differ if it were read now. Spans have the version and shard epoch of now.
type Changes struct {
	NowPresent []Span // missing before, present now
	NowMissing []Span // present before, missing now
	Updated    []Span // present at another data version
}

// Any reports whether there are changes.
func (c *Changes) Any() bool { return len(c.NowPresent)+len(c.NowMissing)+len(c.Updated) > 0 }

// Changes compares what the page before read with what this one reads. It compares buckets, whichever shards held them
// then and hold them now.
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
