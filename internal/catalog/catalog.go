// Package catalog follows a catalogue of slices over HTTP/1.1, in the style of discovery: GET /catalog/slices
// is the whole map, with index and wait a watch that answers with changes or with the whole map. When it is
// asked, and for what, slicemap.Follow decides. api/asyncapi.yaml has the form.
package catalog

import (
	"encoding/json"
	"errors"
	"fmt"

	"ternstage/internal/slicemap"
)

// Doc is an answer of the catalogue.
type Doc struct {
	Epoch     uint64   `json:"epoch"`
	Complete  bool     `json:"complete"`
	Districts int      `json:"districts,omitempty"`
	Nodes     []string `json:"nodes,omitempty"` // all that may hold slices; none: any
	Slices    []Slice  `json:"slices,omitempty"`
	Retired   []Gone   `json:"retired,omitempty"` // the latest last: by these old names are understood
	Changes   []Change `json:"changes,omitempty"`
}

// Gone is a slice that is no more.
type Gone struct {
	ID int `json:"id"`
	Lo int `json:"lo"`
	Hi int `json:"hi"`
}

// Slice is a line of a whole map.
type Slice struct {
	ID      int      `json:"id"`
	Lo      int      `json:"lo"`
	Hi      int      `json:"hi"`
	Holders []string `json:"holders"`
	State   string   `json:"state,omitempty"` // serving if absent
	From    string   `json:"from,omitempty"`
	To      string   `json:"to,omitempty"`
	Since   uint64   `json:"since,omitempty"`
	Parents []int    `json:"parents,omitempty"`
}

// Change is one change of the map.
type Change struct {
	Base    uint64   `json:"base"`
	Epoch   uint64   `json:"epoch"`
	Kind    string   `json:"kind"`
	Slice   int      `json:"slice"`
	Other   int      `json:"other,omitempty"`
	At      int      `json:"at,omitempty"`
	Into    []int    `json:"into,omitempty"`
	From    string   `json:"from,omitempty"`
	To      string   `json:"to,omitempty"`
	Holders []string `json:"holders,omitempty"`
}

// ErrDoc is wrapped where an answer has not the form of one.
var ErrDoc = errors.New("the catalogue's answer cannot be used")

// Parse reads an answer: a whole map, or changes.
func Parse(text []byte) (w *slicemap.Whole, cs []slicemap.Change, nodes []string, err error) {
	var d Doc
	if err := json.Unmarshal(text, &d); err != nil {
		return nil, nil, nil, fmt.Errorf("%w: %w", ErrDoc, err)
	}
	if d.Epoch == 0 {
		return nil, nil, nil, fmt.Errorf("%w: no epoch", ErrDoc)
	}
	if !d.Complete {
		for i, c := range d.Changes {
			kind, err := slicemap.ParseKind(c.Kind)
			if err != nil {
				return nil, nil, nil, fmt.Errorf("%w: changes[%d]: %w", ErrDoc, i, err)
			}
			cs = append(cs, slicemap.Change{Base: c.Base, Epoch: c.Epoch, Kind: kind, Slice: c.Slice, Other: c.Other,
				At: c.At, Into: c.Into, From: c.From, To: c.To, Holders: c.Holders})
		}
		if n := len(cs); n > 0 && cs[n-1].Epoch != d.Epoch {
			return nil, nil, nil, fmt.Errorf("%w: changes up to %d in an answer of epoch %d", ErrDoc, cs[n-1].Epoch,
				d.Epoch)
		}
		return nil, cs, d.Nodes, nil
	}
	w = &slicemap.Whole{Epoch: d.Epoch, Districts: d.Districts, Nodes: d.Nodes}
	for i, s := range d.Slices {
		state := slicemap.Serving
		if s.State != "" {
			if state, err = slicemap.ParseState(s.State); err != nil {
				return nil, nil, nil, fmt.Errorf("%w: slices[%d]: %w", ErrDoc, i, err)
			}
		}
		w.Slices = append(w.Slices, &slicemap.Slice{ID: s.ID, Range: slicemap.Range{Lo: s.Lo, Hi: s.Hi},
			Holders: s.Holders, State: state, From: s.From, To: s.To, Since: s.Since, Parents: s.Parents})
	}
	for _, r := range d.Retired {
		w.Retired = append(w.Retired, slicemap.Retiree{ID: r.ID, Range: slicemap.Range{Lo: r.Lo, Hi: r.Hi}})
	}
	return w, nil, d.Nodes, nil
}

// Form is a version as a whole answer, with the slices that were retired before it.
func Form(v *slicemap.Version, nodes []string, retired []slicemap.Retiree) Doc {
	d := Doc{Epoch: v.Epoch, Complete: true, Districts: v.Districts, Nodes: nodes}
	v.All(func(s *slicemap.Slice) bool {
		d.Slices = append(d.Slices, formSlice(s))
		return true
	})
	for _, r := range retired {
		d.Retired = append(d.Retired, Gone{r.ID, r.Lo, r.Hi})
	}
	return d
}

func formSlice(s *slicemap.Slice) Slice {
	return Slice{ID: s.ID, Lo: s.Lo, Hi: s.Hi, Holders: s.Holders, State: s.State.String(), From: s.From,
		To:    s.To,
		Since: s.Since, Parents: s.Parents}
}

// Moving are the first slices that are being moved, most at most.
func Moving(m *slicemap.Map, most int) []Slice {
	out := []Slice{}
	for _, s := range m.Moving() {
		if len(out) < most {
			out = append(out, formSlice(s))
		}
	}
	return out
}

// FormChange is a change as it stands in an answer.
func FormChange(c slicemap.Change) Change {
	return Change{Base: c.Base, Epoch: c.Epoch, Kind: c.Kind.String(), Slice: c.Slice, Other: c.Other, At: c.At,
		Into: c.Into, From: c.From, To: c.To, Holders: c.Holders}
}
