package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"slices"
)

// The bounds of a clause.
const (
	MostRank       = 8    // columns
	MostAggregates = 32   // figures
	MostGroup      = 4    // columns
	MostFilter     = 16   // terms
	MostPage       = 1000 // rows
	MostName       = 64   // bytes of a column's or a figure's name
)

// Clause is what a client asks of a merge, as it stands in the query under "merge".
type Clause struct {
	Rank      []RankBy    `json:"rank,omitempty"`
	Page      *PageClause `json:"page,omitempty"`
	Aggregate []Figure    `json:"aggregate,omitempty"`
	Group     []string    `json:"group,omitempty"`
	Filter    []Term      `json:"filter,omitempty"`
	Least     float64     `json:"least,omitempty"` // share of weight, if stricter than the class's
}

// RankBy is one column of the rank.
type RankBy struct {
	Column string `json:"column"`
	Order  string `json:"order,omitempty"` // asc, if absent, or desc
}

// PageClause is a page: its size, and the cursor of the page before.
type PageClause struct {
	Size   int    `json:"size,omitempty"`
	Cursor string `json:"cursor,omitempty"`
}

// Figure is one aggregate.
type Figure struct {
	Name string   `json:"name"`
	Do   string   `json:"do"`           // count, sum, min, max, mean, quantile or distinct
	Of   string   `json:"of,omitempty"` // column; count may do without
	Q    *float64 `json:"q,omitempty"`  // of a quantile, 0 to 1
}

// Term is one term of the filter: all must hold.
type Term struct {
	Column string          `json:"column"`
	Op     string          `json:"op"` // eq, ne, lt, le, gt or ge
	Value  json.RawMessage `json:"value"`
}

var (
	does = []string{"count", "sum", "min", "max", "mean", "quantile", "distinct"}
	ops  = []string{"eq", "ne", "lt", "le", "gt", "ge"}
)

// ErrClause is wrapped by what Parse says; the message names the field.
var ErrClause = errors.New("the merge cannot be used")

func bad(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrClause, field, fmt.Sprintf(format, args...))
}

// Parse reads a clause and names the first field that cannot be.
func Parse(text []byte) (*Clause, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	c := &Clause{}
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrClause, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, bad("merge", "more than one object")
	}
	return c, c.check()
}

func name(field, s string) error {
	if s == "" || len(s) > MostName {
		return bad(field, "a name of 1 to %d bytes, not %.70q", MostName, s)
	}
	return nil
}

func count(field string, n, most int) error {
	if n > most {
		return bad(field, "%d, %d at most", n, most)
	}
	return nil
}

func (c *Clause) check() error {
	if len(c.Rank) == 0 && len(c.Aggregate) == 0 {
		return bad("merge", "neither rank nor aggregate")
	}
	if err := errors.Join(count("rank", len(c.Rank), MostRank),
		count("aggregate", len(c.Aggregate), MostAggregates),
		count("group", len(c.Group), MostGroup), count("filter", len(c.Filter), MostFilter)); err != nil {
		return err
	}
	var seen []string
	for i, r := range c.Rank {
		field := fmt.Sprintf("rank[%d]", i)
		if err := name(field+".column", r.Column); err != nil {
			return err
		}
		if r.Order != "" && r.Order != "asc" && r.Order != "desc" {
			return bad(field+".order", "%q, not asc or desc", r.Order)
		}
		if slices.Contains(seen, r.Column) {
			return bad(field+".column", "%q stands twice", r.Column)
		}
		seen = append(seen, r.Column)
	}
	switch {
	case (c.Page == nil) != (len(c.Rank) == 0):
		return bad("page", "a rank has a page, and only a rank")
	case c.Page != nil && (c.Page.Size < 0 || c.Page.Size > MostPage):
		return bad("page.size", "%d, 0 to %d", c.Page.Size, MostPage)
	case len(c.Group) > 0 && len(c.Aggregate) == 0:
		return bad("group", "no aggregate")
	case !(c.Least >= 0 && c.Least <= 1):
		return bad("least", "%v, 0 to 1", c.Least)
	}
	for i, g := range c.Group {
		if err := name(fmt.Sprintf("group[%d]", i), g); err != nil {
			return err
		}
		if slices.Contains(c.Group[:i], g) {
			return bad(fmt.Sprintf("group[%d]", i), "%q stands twice", g)
		}
	}
	seen = nil
	for i, f := range c.Aggregate {
		field := fmt.Sprintf("aggregate[%d]", i)
		if err := name(field+".name", f.Name); err != nil {
			return err
		}
		if slices.Contains(seen, f.Name) {
			return bad(field+".name", "%q stands twice", f.Name)
		}
		seen = append(seen, f.Name)
		if !slices.Contains(does, f.Do) {
			return bad(field+".do", "%q, not one of %v", f.Do, does)
		}
		if f.Of == "" && f.Do != "count" || len(f.Of) > MostName {
			return bad(field+".of", "a column's name, not %.70q", f.Of)
		}
		if (f.Do == "quantile") != (f.Q != nil) || f.Q != nil && !(*f.Q >= 0 && *f.Q <= 1) {
			return bad(field+".q", "0 to 1, of a quantile and of nothing else")
		}
	}
	for i, t := range c.Filter {
		field := fmt.Sprintf("filter[%d]", i)
		if err := name(field+".column", t.Column); err != nil {
			return err
		}
		if !slices.Contains(ops, t.Op) {
			return bad(field+".op", "%q, not one of %v", t.Op, ops)
		}
		if _, err := t.Operand(); err != nil {
			return bad(field+".value", "%v", err)
		}
	}
	return nil
}

// Operand is a term's value: an integer, a number or a text.
func (t Term) Operand() (Value, error) {
	var s string
	if json.Unmarshal(t.Value, &s) == nil && len(t.Value) > 0 && t.Value[0] == '"' {
		return TextOf(s), nil
	}
	var n json.Number
	if json.Unmarshal(t.Value, &n) != nil || n == "" {
		return Value{}, fmt.Errorf("a number or a text, not %.40s", t.Value)
	}
	if x, err := n.Int64(); err == nil {
		return IntOf(x), nil
	}
	x, err := n.Float64()
	if err != nil || math.IsInf(x, 0) {
		return Value{}, fmt.Errorf("a number that can be held, not %.40s", t.Value)
	}
	return FloatOf(x), nil
}

// Holds tells whether a row passes a term. Nothing is like null, and a text and a number are never alike; an
// integer and a float are compared as floats.
func (t Term) Holds(v Value) bool {
	want, err := t.Operand()
	if err != nil || v.Kind == Null || (v.Kind == Text) != (want.Kind == Text) {
		return false
	}
	c := 0
	if v.Kind == want.Kind {
		c = Compare(v, want)
	} else {
		a, _ := v.number()
		b, _ := want.number()
		c = Compare(FloatOf(a), FloatOf(b))
	}
	if v.Kind == Float && math.IsNaN(v.Float) {
		return t.Op == "ne"
	}
	return map[string]bool{"eq": c == 0, "ne": c != 0, "lt": c < 0, "le": c <= 0, "gt": c > 0,
		"ge": c >= 0}[t.Op]
}

// By is the rank as an order takes it.
func (c *Clause) By() []By {
	out := make([]By, len(c.Rank))
	for i, r := range c.Rank {
		out[i] = By{r.Column, r.Order == "desc"}
	}
	return out
}

// Canonical is the clause without its page, always written alike: what a cursor is bound to. A page may be
// larger or smaller than the one before.
func (c *Clause) Canonical() []byte {
	x := *c
	x.Page, x.Rank = nil, slices.Clone(c.Rank)
	for i := range x.Rank {
		if x.Rank[i].Order == "" {
			x.Rank[i].Order = "asc"
		}
	}
	x.Filter = slices.Clone(c.Filter)
	for i, t := range x.Filter {
		if v, err := t.Operand(); err == nil && v.Kind != Text {
			x.Filter[i].Value = []byte(v.String())
		}
	}
	text, err := json.Marshal(x)
	if err != nil {
		panic(err) // it was checked: names, numbers and JSON
	}
	return text
}
