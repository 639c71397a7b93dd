// Package rows turns what nodes send into batches and back: JSON over frames, Arrow record batches over
// Flight. It has no I/O. What does not have the form is an error that names the place; what is larger than
// was asked for is given up at the first row too many, so that memory stays in its bound.
package rows

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"unicode/utf8"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/results/completeness"
	"ternstage/internal/results/merge"
)

// The bounds of what a node may send.
const (
	MaxColumns   = 64
	MaxTextBytes = 4 << 10 // bytes of one text
)

// ErrMalformed is wrapped where something has not the form.
var ErrMalformed = errors.New("the rows cannot be used")

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// Answer is what a node gives for a part: a batch of rows, and what it states of all its rows.
type Answer struct {
	Batch   merge.Batch
	Groups  *merge.Groups         // its aggregates; nil if none were asked for
	Summary *completeness.Summary // nil if it states none
}

// Request is what a node was asked for, by which its answer is read.
type Request struct {
	Buckets          shardmap.Range
	ShardEpoch       uint64   // epoch of the slice's last change
	MaxRows          int      // rows
	RankColumns      []string // columns, by which a summary's least values are read
	AggregateColumns []string // aggregated columns; "" counts rows
	GroupColumns     []string // columns
	MaxGroups        int      // at most
}

// wireColumn is a column in the JSON form.
type wireColumn struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"` // int, float or text
	Currency string `json:"currency,omitempty"`
}

// wireSummary is a summary in the JSON form; its version and districts are the answer's.
type wireSummary struct {
	Count     uint64            `json:"count"`
	FirstRank []json.RawMessage `json:"least,omitempty"` // the rank columns of the first row
	Min       *float64          `json:"min,omitempty"`
	Max       *float64          `json:"max,omitempty"`
	Sum       *float64          `json:"sum,omitempty"`
}

type wireAnswer struct {
	Version uint64       `json:"version"`
	Schema  []wireColumn `json:"schema"`
	More    bool         `json:"more"`
	Summary *wireSummary `json:"summary,omitempty"`
	Groups  []wireGroup  `json:"groups,omitempty"`
}

// wireGroup is the aggregates of a group in the JSON form, of each aggregated column in turn.
type wireGroup struct {
	Values   []json.RawMessage `json:"by,omitempty"`
	Partials []wirePartial     `json:"of"`
}

type wirePartial struct {
	Count     uint64          `json:"count"`
	Sum       json.RawMessage `json:"sum,omitempty"`
	Min       json.RawMessage `json:"min,omitempty"`
	Max       json.RawMessage `json:"max,omitempty"`
	Quantiles []byte          `json:"quantile,omitempty"` // sketches, in base64
	Distinct  []byte          `json:"distinct,omitempty"`
}

var wireKinds = map[string]merge.Kind{"int": merge.Int, "float": merge.Float, "text": merge.Text}

func decodeSchema(list []wireColumn) (merge.Schema, error) {
	if len(list) > MaxColumns {
		return nil, malformed("%d columns, %d at most", len(list), MaxColumns)
	}
	var s merge.Schema
	for i, c := range list {
		k, ok := wireKinds[c.Kind]
		if !ok || c.Name == "" || s.Index(c.Name) >= 0 {
			return nil, malformed("schema[%d]: name %.40q, kind %.10q", i, c.Name, c.Kind)
		}
		s = append(s, merge.Column{Name: c.Name, Kind: k, Currency: c.Currency})
	}
	return s, nil
}

// DecodeJSON reads a node's answer:
//
//	{"version":7,"schema":[...],"rows":[[district,"key",value,...],...],"more":true,
//	 "groups":[...],"summary":{...}}
//
// with the schema before the rows.
func DecodeJSON(text []byte, w Request) (*Answer, error) {
	if !utf8.Valid(text) {
		return nil, malformed("not UTF-8")
	}
	a := &Answer{Batch: merge.Batch{Buckets: w.Buckets}}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, malformed("no object")
	}
	var h wireAnswer
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, malformed("%v", err)
		}
		name, _ := t.(string)
		if seen[name] {
			return nil, malformed("%.20q stands twice", name)
		}
		seen[name] = true
		switch name {
		case "version":
			err = d.Decode(&h.Version)
		case "more":
			err = d.Decode(&h.More)
		case "summary":
			err = d.Decode(&h.Summary)
		case "groups":
			err = d.Decode(&h.Groups)
		case "schema":
			if err = d.Decode(&h.Schema); err == nil {
				a.Batch.Schema, err = decodeSchema(h.Schema)
			}
		case "rows":
			if !seen["schema"] {
				return nil, malformed("rows before their schema")
			}
			a.Batch.Rows, err = decodeRows(d, a.Batch.Schema, w.MaxRows)
		default:
			return nil, malformed("name %.40q", name)
		}
		if err != nil && !errors.Is(err, ErrMalformed) {
			err = malformed("%s: %v", name, err)
		}
		if err != nil {
			return nil, err
		}
	}
	if _, err := d.Token(); err != nil {
		return nil, malformed("%v", err)
	}
	if d.More() {
		return nil, malformed("something behind the object")
	}
	if !seen["schema"] || !seen["rows"] || h.Version == 0 {
		return nil, malformed("version, schema or rows missing")
	}
	a.Batch.Version, a.Batch.HasMore = h.Version, h.More
	return a, a.decodeRest(h.Summary, h.Groups, w)
}

// decodeRest reads what comes beside the rows.
func (a *Answer) decodeRest(n *wireSummary, groups []wireGroup, w Request) (err error) {
	if a.Summary, err = n.decode(a.Batch, w.ShardEpoch, w.RankColumns); err != nil {
		return err
	}
	if len(w.AggregateColumns) == 0 {
		if len(groups) > 0 {
			return malformed("groups, and none were asked for")
		}
		return nil
	}
	columns, by := make([]merge.Column, len(w.AggregateColumns)), make([]merge.Column, len(w.GroupColumns))
	for i, name := range append(slices.Clone(w.AggregateColumns), w.GroupColumns...) {
		c := merge.Column{Kind: merge.Int}
		if at := a.Batch.Schema.Index(name); at >= 0 {
			c = a.Batch.Schema[at]
		} else if name != "" || i >= len(w.AggregateColumns) {
			return malformed("column %q is not there", name)
		}
		if i < len(w.AggregateColumns) {
			columns[i] = c
		} else {
			by[i-len(w.AggregateColumns)] = c
		}
	}
	a.Groups = merge.NewGroups(columns, w.MaxGroups)
	for i, g := range groups {
		if len(g.Values) != len(by) || len(g.Partials) != len(columns) || i >= w.MaxGroups {
			return malformed("groups[%d]: %d values and %d aggregates, of at most %d groups", i, len(g.Values), len(g.Partials),
				w.MaxGroups)
		}
		values := make([]merge.Value, len(by))
		for j, raw := range g.Values {
			if values[j], err = decodeValue(raw, by[j].Kind); err != nil {
				return malformed("groups[%d].by[%d]: %v", i, j, err)
			}
		}
		partials := make([]*merge.PartialAggregate, len(columns))
		for j, p := range g.Partials {
			if partials[j], err = p.decode(columns[j]); err != nil {
				return malformed("groups[%d].of[%d]: %v", i, j, err)
			}
		}
		if err := a.Groups.Insert(values, partials); err != nil {
			return malformed("groups[%d]: %v", i, err)
		}
	}
	return nil
}

// decode makes aggregates of what a node sent.
func (p *wirePartial) decode(c merge.Column) (*merge.PartialAggregate, error) {
	var v [3]merge.Value
	for i, raw := range []json.RawMessage{p.Sum, p.Min, p.Max} {
		kind := c.Kind
		if i == 0 && kind == merge.Text {
			continue // a text has no sum
		}
		if p.Count == 0 || c.Name == "" {
			if v[i] = (merge.Value{Kind: kind}); len(raw) > 0 {
				return nil, fmt.Errorf("sum, min or max of nothing")
			}
			continue
		}
		var err error
		if len(raw) == 0 {
			return nil, fmt.Errorf("sum, min or max missing")
		}
		if v[i], err = decodeValue(raw, kind); err != nil {
			return nil, err
		}
	}
	return merge.RestorePartialAggregate(c, p.Count, v[0], v[1], v[2], p.Quantiles, p.Distinct)
}

// encodeGroups is groups in the JSON form.
func encodeGroups(g *merge.Groups) ([]wireGroup, error) {
	if g == nil {
		return nil, nil
	}
	out := []wireGroup{}
	for _, x := range g.Sorted() {
		f := wireGroup{}
		for _, v := range x.Values {
			f.Values = append(f.Values, encodeValue(v))
		}
		for _, p := range x.Partials {
			q := wirePartial{Count: p.Count}
			if p.Count > 0 && p.Column.Name != "" {
				if p.Column.Kind != merge.Text {
					sum, err := p.Sum()
					if err != nil {
						return nil, err
					}
					q.Sum = encodeValue(sum)
				}
				q.Min, q.Max = encodeValue(p.Min), encodeValue(p.Max)
				var err error
				if q.Quantiles, q.Distinct, err = p.Sketches(); err != nil {
					return nil, err
				}
				if p.Column.Kind == merge.Text {
					q.Quantiles = nil
				}
			}
			f.Partials = append(f.Partials, q)
		}
		out = append(out, f)
	}
	return out, nil
}

// decodeRows reads rows one by one: a list without end is given up at the first row too many.
func decodeRows(d *json.Decoder, s merge.Schema, most int) ([]merge.Row, error) {
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return nil, malformed("rows: no list")
	}
	out := []merge.Row{}
	for d.More() {
		if len(out) == most {
			return nil, malformed("more than the %d rows that were asked for", most)
		}
		var raw []json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return nil, malformed("rows[%d]: %v", len(out), err)
		}
		if len(raw) != len(s)+2 {
			return nil, malformed("rows[%d]: %d values, not district, key and %d columns", len(out), len(raw), len(s))
		}
		var r merge.Row
		if json.Unmarshal(raw[0], &r.Bucket) != nil || json.Unmarshal(raw[1], &r.Key) != nil ||
			len(r.Key) > MaxTextBytes {
			return nil, malformed("rows[%d]: district %.20s, key %.40s", len(out), raw[0], raw[1])
		}
		r.Values = make([]merge.Value, len(s))
		for i, c := range s {
			v, err := decodeValue(raw[i+2], c.Kind)
			if err != nil {
				return nil, malformed("rows[%d]: %s: %v", len(out), c.Name, err)
			}
			r.Values[i] = v
		}
		out = append(out, r)
	}
	_, err := d.Token()
	return out, err
}

// decodeValue reads a value of a kind, or null. A float that JSON cannot write comes as "NaN": it is no number,
// and the merge turns its row away if it is ranked by it.
func decodeValue(raw json.RawMessage, k merge.Kind) (merge.Value, error) {
	text := string(bytes.TrimSpace(raw))
	if text == "null" {
		return merge.Value{}, nil
	}
	switch k {
	case merge.Int:
		var x int64
		if err := json.Unmarshal(raw, &x); err != nil {
			return merge.Value{}, fmt.Errorf("no integer of 64 bits: %.40s", text)
		}
		return merge.IntOf(x), nil
	case merge.Float:
		if text == `"NaN"` {
			return merge.FloatOf(math.NaN()), nil
		}
		var x float64
		if err := json.Unmarshal(raw, &x); err != nil {
			return merge.Value{}, fmt.Errorf("no number: %.40s", text)
		}
		return merge.FloatOf(x), nil
	}
	var x string
	if err := json.Unmarshal(raw, &x); err != nil || len(x) > MaxTextBytes {
		return merge.Value{}, fmt.Errorf("no text of %d bytes at most: %.40s", MaxTextBytes, text)
	}
	return merge.TextOf(x), nil
}

// decode makes a summary of what a node stated.
func (n *wireSummary) decode(b merge.Batch, since uint64, rank []string) (*completeness.Summary, error) {
	if n == nil {
		return nil, nil
	}
	s := &completeness.Summary{Buckets: b.Buckets, Version: b.Version, ShardEpoch: since, Count: n.Count,
		Min: math.NaN(),
		Max: math.NaN(), Sum: math.NaN()}
	for _, v := range []struct {
		from *float64
		to   *float64
	}{{n.Min, &s.Min}, {n.Max, &s.Max}, {n.Sum, &s.Sum}} {
		if v.from != nil {
			*v.to = *v.from
		}
	}
	if n.Count == 0 && len(n.FirstRank) > 0 || n.Count > 0 && len(n.FirstRank) != len(rank) || s.Min > s.Max {
		return nil, malformed("summary: %d least values of %d rank columns, %d rows, %v to %v", len(n.FirstRank), len(rank),
			n.Count,
			s.Min, s.Max)
	}
	for i, raw := range n.FirstRank {
		at := b.Schema.Index(rank[i])
		if at < 0 {
			return nil, malformed("summary: rank column %q is not there", rank[i])
		}
		v, err := decodeValue(raw, b.Schema[at].Kind)
		if err != nil || v.Kind == merge.Null || v.Kind == merge.Float && math.IsNaN(v.Float) {
			return nil, malformed("summary: least[%d]: %.40s", i, raw)
		}
		s.FirstRank = append(s.FirstRank, v)
	}
	return s, nil
}

func encodeValue(v merge.Value) json.RawMessage {
	switch {
	case v.Kind == merge.Null:
		return json.RawMessage("null")
	case v.Kind == merge.Float && (math.IsNaN(v.Float) || math.IsInf(v.Float, 0)):
		return json.RawMessage(`"NaN"`)
	case v.Kind == merge.Text:
		text, _ := json.Marshal(v.Text)
		return text
	}
	return json.RawMessage(v.String())
}

func numberOrNil(x float64) *float64 {
	if math.IsNaN(x) {
		return nil
	}
	return &x
}

// EncodeJSON is an answer as ParseJSON reads it.
func (a *Answer) EncodeJSON() ([]byte, error) {
	h := wireAnswer{Version: a.Batch.Version, More: a.Batch.HasMore, Schema: []wireColumn{}}
	for _, c := range a.Batch.Schema {
		h.Schema = append(h.Schema, wireColumn{c.Name, c.Kind.String(), c.Currency})
	}
	if s := a.Summary; s != nil {
		h.Summary = &wireSummary{Count: s.Count, Min: numberOrNil(s.Min), Max: numberOrNil(s.Max), Sum: numberOrNil(s.Sum)}
		for _, v := range s.FirstRank {
			h.Summary.FirstRank = append(h.Summary.FirstRank, encodeValue(v))
		}
	}
	var err error
	if h.Groups, err = encodeGroups(a.Groups); err != nil {
		return nil, err
	}
	list := make([][]json.RawMessage, 0, len(a.Batch.Rows))
	for _, r := range a.Batch.Rows {
		key, err := json.Marshal(r.Key)
		if err != nil {
			return nil, err
		}
		line := []json.RawMessage{json.RawMessage(fmt.Sprint(r.Bucket)), key}
		for _, v := range r.Values {
			line = append(line, encodeValue(v))
		}
		list = append(list, line)
	}
	return json.Marshal(struct {
		wireAnswer
		Rows [][]json.RawMessage `json:"rows"`
	}{h, list})
}
