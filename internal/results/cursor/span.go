package cursor

// Span is buckets from Start to End, End not included, as a page read them. It is sealed with its CBOR keys.
type Span struct {
	Start      int    `cbor:"1,keyasint"`
	End        int    `cbor:"2,keyasint"`
	Version    uint64 `cbor:"3,keyasint,omitempty"` // of the data; 0 if the buckets were missing
	ShardEpoch uint64 `cbor:"4,keyasint,omitempty"` // epoch of the last change of the shard that held them
}

// joinAdjacent joins spans that follow each other and were read alike, so that sealed cursors stay short.
func joinAdjacent(spans []Span) (out []Span) {
	for _, s := range spans {
		if n := len(out) - 1; n >= 0 && out[n].End == s.Start && out[n].Version == s.Version &&
			out[n].ShardEpoch == s.ShardEpoch {
			out[n].End = s.End
			continue
		}
		out = append(out, s)
	}
	return out
}

// Changes compares what the page before read with what this one reads. It compares buckets, whichever shards held them
// then and hold them now.
func (c *Cursor) Changes(now []Span) (back, gone, other []Span) {
	for _, was := range c.Spans {
		for _, is := range now {
			lo, hi := max(was.Start, is.Start), min(was.End, is.End)
			if lo >= hi || was.Version == is.Version {
				continue
			}
			s := Span{Start: lo, End: hi, Version: is.Version, ShardEpoch: is.ShardEpoch}
			switch {
			case was.Version == 0:
				back = append(back, s)
			case is.Version == 0:
				gone = append(gone, s)
			default:
				other = append(other, s)
			}
		}
	}
	return back, gone, other
}
