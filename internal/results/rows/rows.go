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
	MostColumns = 64
	MostText    = 4 << 10 // bytes of one text
)

// ErrForm is wrapped where something has not the form.
var ErrForm = errors.New("the rows cannot be used")

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrForm, fmt.Sprintf(format, args...))
}

// Answer is what a node gives for a part: a batch of rows, and what it states of all its rows.
type Answer struct {
	Batch   merge.Batch
	Groups  *merge.Groups         // its aggregates; nil if none were asked for
	Summary *completeness.Summary // nil if it states none
}

// Want is what a node was asked for, by which its answer is read.
type Want struct {
	Districts shardmap.Range
	Since     uint64   // epoch of the slice's last change
	Most      int      // rows
	Rank      []string // columns, by which a summary's least values are read
	Of        []string // aggregated columns; "" counts rows
	Group     []string // columns
	Groups    int      // at most
}

// column is a column in the JSON form.
type column struct {
	Name     string `json:"name"`
	Kind     string `json:"kind"` // int, float or text
	Currency string `json:"currency,omitempty"`
}

// note is a summary in the JSON form; its version and districts are the answer's.
type note struct {
	Count uint64            `json:"count"`
	Least []json.RawMessage `json:"least,omitempty"` // the rank columns of the first row
	Min   *float64          `json:"min,omitempty"`
	Max   *float64          `json:"max,omitempty"`
	Sum   *float64          `json:"sum,omitempty"`
}

type head struct {
	Version uint64   `json:"version"`
	Schema  []column `json:"schema"`
	More    bool     `json:"more"`
	Summary *note    `json:"summary,omitempty"`
	Groups  []group  `json:"groups,omitempty"`
}

// group is the aggregates of a group in the JSON form, of each aggregated column in turn.
type group struct {
	By []json.RawMessage `json:"by,omitempty"`
	Of []partial         `json:"of"`
}

type partial struct {
	Count    uint64          `json:"count"`
	Sum      json.RawMessage `json:"sum,omitempty"`
	Min      json.RawMessage `json:"min,omitempty"`
	Max      json.RawMessage `json:"max,omitempty"`
	Quantile []byte          `json:"quantile,omitempty"` // sketches, in base64
	Distinct []byte          `json:"distinct,omitempty"`
}

var kinds = map[string]merge.Kind{"int": merge.Int, "float": merge.Float, "text": merge.Text}

func schemaOf(list []column) (merge.Schema, error) {
	if len(list) > MostColumns {
		return nil, bad("%d columns, %d at most", len(list), MostColumns)
	}
	var s merge.Schema
	for i, c := range list {
		k, ok := kinds[c.Kind]
		if !ok || c.Name == "" || s.Index(c.Name) >= 0 {
			return nil, bad("schema[%d]: name %.40q, kind %.10q", i, c.Name, c.Kind)
		}
		s = append(s, merge.Column{Name: c.Name, Kind: k, Currency: c.Currency})
	}
	return s, nil
}

// ParseJSON reads a node's answer:
//
//	{"version":7,"schema":[...],"rows":[[district,"key",value,...],...],"more":true,
//	 "groups":[...],"summary":{...}}
//
// with the schema before the rows.
func ParseJSON(text []byte, w Want) (*Answer, error) {
	if !utf8.Valid(text) {
		return nil, bad("not UTF-8")
	}
	a := &Answer{Batch: merge.Batch{Buckets: w.Districts}}
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, bad("no object")
	}
	var h head
	seen := map[string]bool{}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, bad("%v", err)
		}
		name, _ := t.(string)
		if seen[name] {
			return nil, bad("%.20q stands twice", name)
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
				a.Batch.Schema, err = schemaOf(h.Schema)
			}
		case "rows":
			if !seen["schema"] {
				return nil, bad("rows before their schema")
			}
			a.Batch.Rows, err = rowsOf(d, a.Batch.Schema, w.Most)
		default:
			return nil, bad("name %.40q", name)
		}
		if err != nil && !errors.Is(err, ErrForm) {
			err = bad("%s: %v", name, err)
		}
		if err != nil {
			return nil, err
		}
	}
	if _, err := d.Token(); err != nil {
		return nil, bad("%v", err)
	}
	if d.More() {
		return nil, bad("something behind the object")
	}
	if !seen["schema"] || !seen["rows"] || h.Version == 0 {
		return nil, bad("version, schema or rows missing")
	}
	a.Batch.Version, a.Batch.HasMore = h.Version, h.More
	return a, a.rest(h.Summary, h.Groups, w)
}

// rest reads what comes beside the rows.
func (a *Answer) rest(n *note, groups []group, w Want) (err error) {
	if a.Summary, err = n.read(a.Batch, w.Since, w.Rank); err != nil {
		return err
	}
	if len(w.Of) == 0 {
		if len(groups) > 0 {
			return bad("groups, and none were asked for")
		}
		return nil
	}
	columns, by := make([]merge.Column, len(w.Of)), make([]merge.Column, len(w.Group))
	for i, name := range append(slices.Clone(w.Of), w.Group...) {
		c := merge.Column{Kind: merge.Int}
		if at := a.Batch.Schema.Index(name); at >= 0 {
			c = a.Batch.Schema[at]
		} else if name != "" || i >= len(w.Of) {
			return bad("column %q is not there", name)
		}
		if i < len(w.Of) {
			columns[i] = c
		} else {
			by[i-len(w.Of)] = c
		}
	}
	a.Groups = merge.NewGroups(columns, w.Groups)
	for i, g := range groups {
		if len(g.By) != len(by) || len(g.Of) != len(columns) || i >= w.Groups {
			return bad("groups[%d]: %d values and %d aggregates, of at most %d groups", i, len(g.By), len(g.Of),
				w.Groups)
		}
		values := make([]merge.Value, len(by))
		for j, raw := range g.By {
			if values[j], err = valueOf(raw, by[j].Kind); err != nil {
				return bad("groups[%d].by[%d]: %v", i, j, err)
			}
		}
		partials := make([]*merge.PartialAggregate, len(columns))
		for j, p := range g.Of {
			if partials[j], err = p.read(columns[j]); err != nil {
				return bad("groups[%d].of[%d]: %v", i, j, err)
			}
		}
		if err := a.Groups.Insert(values, partials); err != nil {
			return bad("groups[%d]: %v", i, err)
		}
	}
	return nil
}

// read makes aggregates of what a node sent.
func (p *partial) read(c merge.Column) (*merge.PartialAggregate, error) {
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
		if v[i], err = valueOf(raw, kind); err != nil {
			return nil, err
		}
	}
	return merge.RestorePartialAggregate(c, p.Count, v[0], v[1], v[2], p.Quantile, p.Distinct)
}

// formGroups is groups in the JSON form.
func formGroups(g *merge.Groups) ([]group, error) {
	if g == nil {
		return nil, nil
	}
	out := []group{}
	for _, x := range g.Sorted() {
		f := group{}
		for _, v := range x.Values {
			f.By = append(f.By, raw(v))
		}
		for _, p := range x.Partials {
			q := partial{Count: p.Count}
			if p.Count > 0 && p.Column.Name != "" {
				if p.Column.Kind != merge.Text {
					sum, err := p.Sum()
					if err != nil {
						return nil, err
					}
					q.Sum = raw(sum)
				}
				q.Min, q.Max = raw(p.Min), raw(p.Max)
				var err error
				if q.Quantile, q.Distinct, err = p.Sketches(); err != nil {
					return nil, err
				}
				if p.Column.Kind == merge.Text {
					q.Quantile = nil
				}
			}
			f.Of = append(f.Of, q)
		}
		out = append(out, f)
	}
	return out, nil
}

// rowsOf reads rows one by one: a list without end is given up at the first row too many.
func rowsOf(d *json.Decoder, s merge.Schema, most int) ([]merge.Row, error) {
	if t, err := d.Token(); err != nil || t != json.Delim('[') {
		return nil, bad("rows: no list")
	}
	out := []merge.Row{}
	for d.More() {
		if len(out) == most {
			return nil, bad("more than the %d rows that were asked for", most)
		}
		var raw []json.RawMessage
		if err := d.Decode(&raw); err != nil {
			return nil, bad("rows[%d]: %v", len(out), err)
		}
		if len(raw) != len(s)+2 {
			return nil, bad("rows[%d]: %d values, not district, key and %d columns", len(out), len(raw), len(s))
		}
		var r merge.Row
		if json.Unmarshal(raw[0], &r.Bucket) != nil || json.Unmarshal(raw[1], &r.Key) != nil ||
			len(r.Key) > MostText {
			return nil, bad("rows[%d]: district %.20s, key %.40s", len(out), raw[0], raw[1])
		}
		r.Values = make([]merge.Value, len(s))
		for i, c := range s {
			v, err := valueOf(raw[i+2], c.Kind)
			if err != nil {
				return nil, bad("rows[%d]: %s: %v", len(out), c.Name, err)
			}
			r.Values[i] = v
		}
		out = append(out, r)
	}
	_, err := d.Token()
	return out, err
}

// valueOf reads a value of a kind, or null. A float that JSON cannot write comes as "NaN": it is no number,
// and the merge turns its row away if it is ranked by it.
func valueOf(raw json.RawMessage, k merge.Kind) (merge.Value, error) {
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
	if err := json.Unmarshal(raw, &x); err != nil || len(x) > MostText {
		return merge.Value{}, fmt.Errorf("no text of %d bytes at most: %.40s", MostText, text)
	}
	return merge.TextOf(x), nil
}

// read makes a summary of what a node stated.
func (n *note) read(b merge.Batch, since uint64, rank []string) (*completeness.Summary, error) {
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
	if n.Count == 0 && len(n.Least) > 0 || n.Count > 0 && len(n.Least) != len(rank) || s.Min > s.Max {
		return nil, bad("summary: %d least values of %d rank columns, %d rows, %v to %v", len(n.Least), len(rank),
			n.Count,
			s.Min, s.Max)
	}
	for i, raw := range n.Least {
		at := b.Schema.Index(rank[i])
		if at < 0 {
			return nil, bad("summary: rank column %q is not there", rank[i])
		}
		v, err := valueOf(raw, b.Schema[at].Kind)
		if err != nil || v.Kind == merge.Null || v.Kind == merge.Float && math.IsNaN(v.Float) {
			return nil, bad("summary: least[%d]: %.40s", i, raw)
		}
		s.FirstRank = append(s.FirstRank, v)
	}
	return s, nil
}

func raw(v merge.Value) json.RawMessage {
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

func number(x float64) *float64 {
	if math.IsNaN(x) {
		return nil
	}
	return &x
}

// JSON is an answer as ParseJSON reads it.
func (a *Answer) JSON() ([]byte, error) {
	h := head{Version: a.Batch.Version, More: a.Batch.HasMore, Schema: []column{}}
	for _, c := range a.Batch.Schema {
		h.Schema = append(h.Schema, column{c.Name, c.Kind.String(), c.Currency})
	}
	if s := a.Summary; s != nil {
		h.Summary = &note{Count: s.Count, Min: number(s.Min), Max: number(s.Max), Sum: number(s.Sum)}
		for _, v := range s.FirstRank {
			h.Summary.Least = append(h.Summary.Least, raw(v))
		}
	}
	var err error
	if h.Groups, err = formGroups(a.Groups); err != nil {
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
			line = append(line, raw(v))
		}
		list = append(list, line)
	}
	return json.Marshal(struct {
		head
		Rows [][]json.RawMessage `json:"rows"`
	}{h, list})
}
