package catalog

import (
	"encoding/json"
	"errors"
	"fmt"

	"ternstage/internal/slicemap"
)

// Document is an answer of the catalogue.
type Document struct {
	Epoch    uint64         `json:"epoch"`
	Complete bool           `json:"complete"`
	Buckets  int            `json:"districts,omitempty"`
	Backends []string       `json:"nodes,omitempty"` // all that may hold slices; none: any
	Shards   []Shard        `json:"slices,omitempty"`
	Retired  []RetiredShard `json:"retired,omitempty"` // the latest last: by these old names are understood
	Changes  []Change       `json:"changes,omitempty"`
}

// RetiredShard is a slice that is no more.
type RetiredShard struct {
	ID int `json:"id"`
	Lo int `json:"lo"`
	Hi int `json:"hi"`
}

// Shard is a line of a whole map.
type Shard struct {
	ID       int      `json:"id"`
	Lo       int      `json:"lo"`
	Hi       int      `json:"hi"`
	Replicas []string `json:"holders"`
	State    string   `json:"state,omitempty"` // serving if absent
	From     string   `json:"from,omitempty"`
	To       string   `json:"to,omitempty"`
	Since    uint64   `json:"since,omitempty"`
	Parents  []int    `json:"parents,omitempty"`
}

// Change is one change of the map.
type Change struct {
	Base     uint64   `json:"base"`
	Epoch    uint64   `json:"epoch"`
	Kind     string   `json:"kind"`
	Shard    int      `json:"slice"`
	Other    int      `json:"other,omitempty"`
	At       int      `json:"at,omitempty"`
	Into     []int    `json:"into,omitempty"`
	From     string   `json:"from,omitempty"`
	To       string   `json:"to,omitempty"`
	Replicas []string `json:"holders,omitempty"`
}

// ErrMalformedDocument is wrapped where an answer has not the form of one.
var ErrMalformedDocument = errors.New("the catalogue's answer cannot be used")

// Parse reads an answer: a whole map, or changes.
func Parse(text []byte) (w *slicemap.Snapshot, cs []slicemap.Change, nodes []string, err error) {
	var d Document
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, nil, nil, fmt.Errorf("%w: %w", ErrMalformedDocument, err)
	}
	if d.Epoch == 0 {
		return nil, nil, nil, fmt.Errorf("%w: no epoch", ErrMalformedDocument)
	}
	if !d.Complete {
		for i, c := range d.Changes {
			kind, err := slicemap.ParseKind(c.Kind)
			if err != nil {
				return nil, nil, nil, fmt.Errorf("%w: changes[%d]: %w", ErrMalformedDocument, i, err)
			}
			cs = append(cs, slicemap.Change{Base: c.Base, Epoch: c.Epoch, Kind: kind, Shard: c.Shard, Other: c.Other,
				At: c.At, Into: c.Into, From: c.From, To: c.To, Replicas: c.Replicas})
		}
		if n := len(cs); n > 0 && cs[n-1].Epoch != d.Epoch {
			return nil, nil, nil, fmt.Errorf("%w: changes up to %d in an answer of epoch %d", ErrMalformedDocument, cs[n-1].Epoch,
				d.Epoch)
		}
		return nil, cs, d.Backends, nil
	}
	w = &slicemap.Snapshot{Epoch: d.Epoch, Buckets: d.Buckets, Backends: d.Backends}
	for i, s := range d.Shards {
		state := slicemap.Serving
		if s.State != "" {
			if state, err = slicemap.ParseState(s.State); err != nil {
				return nil, nil, nil, fmt.Errorf("%w: slices[%d]: %w", ErrMalformedDocument, i, err)
			}
		}
		w.Shards = append(w.Shards, &slicemap.Shard{ID: s.ID, Range: slicemap.Range{Start: s.Lo, End: s.Hi},
			Replicas: s.Replicas, State: state, From: s.From, To: s.To, Since: s.Since, Parents: s.Parents})
	}
	for _, r := range d.Retired {
		w.Retired = append(w.Retired, slicemap.RetiredShard{ID: r.ID, Range: slicemap.Range{Start: r.Lo, End: r.Hi}})
	}
	return w, nil, d.Backends, nil
}

// FormatSnapshot is a version as a whole answer, with the slices that were retired before it.
func FormatSnapshot(v *slicemap.Version, nodes []string, retired []slicemap.RetiredShard) Document {
	d := Document{Epoch: v.Epoch, Complete: true, Buckets: v.Buckets, Backends: nodes}
	v.All(func(s *slicemap.Shard) bool {
		d.Shards = append(d.Shards, formSlice(s))
		return true
	})
	for _, r := range retired {
		d.Retired = append(d.Retired, RetiredShard{r.ID, r.Start, r.End})
	}
	return d
}

func formSlice(s *slicemap.Shard) Shard {
	return Shard{ID: s.ID, Lo: s.Start, Hi: s.End, Replicas: s.Replicas, State: s.State.String(), From: s.From,
		To:    s.To,
		Since: s.Since, Parents: s.Parents}
}

// ShardsInMotion are the first slices that are being moved, most at most.
func ShardsInMotion(m *slicemap.Map, most int) []Shard {
	out := []Shard{}
	for _, s := range m.ShardsInMotion() {
		if len(out) < most {
			out = append(out, formSlice(s))
		}
	}
	return out
}

// FormatChange is a change as it stands in an answer.
func FormatChange(c slicemap.Change) Change {
	return Change{Base: c.Base, Epoch: c.Epoch, Kind: c.Kind.String(), Shard: c.Shard, Other: c.Other, At: c.At,
		Into: c.Into, From: c.From, To: c.To, Replicas: c.Replicas}
}
