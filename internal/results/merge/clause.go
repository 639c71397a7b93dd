package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Clause is what a client asks of a merge: the object "merge" of a query.
type Clause struct {
	Rank      []RankColumn      `json:"rank,omitempty"`
	Page      *PageClause       `json:"page,omitempty"`
	Aggregate []AggregateClause `json:"aggregate,omitempty"`
	Group     []string          `json:"group,omitempty"` // columns
	Filter    []Condition       `json:"filter,omitempty"`
	MinWeight float64           `json:"least,omitempty"` // share of the query's weight, if stricter than the class's
}

// RankColumn is one column of the rank.
type RankColumn struct {
	Column string `json:"column"`
	Order  string `json:"order,omitempty"` // "" is OrderAscending
}

// PageClause is the size of a page, in rows, and the cursor of the page before; "" for the first page.
type PageClause struct {
	Size   int    `json:"size,omitempty"`
	Cursor string `json:"cursor,omitempty"`
}

// AggregateClause is one aggregate.
type AggregateClause struct {
	Name     string   `json:"name"` // by which the answer names it
	Function string   `json:"do"`
	Column   string   `json:"of,omitempty"` // may be "" for FunctionCount: it then counts rows
	Quantile *float64 `json:"q,omitempty"`  // 0 to 1; of FunctionQuantile alone
}

// Condition is one condition of the filter. Rows pass that meet all conditions.
type Condition struct {
	Column   string          `json:"column"`
	Operator string          `json:"op"`
	Value    json.RawMessage `json:"value"` // see Operand
}

// ParseClause reads a clause. The error wraps ErrInvalidClause and names the first field that is wrong.
func ParseClause(text []byte) (*Clause, error) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	c := &Clause{}
	if err := d.Decode(c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidClause, err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, invalidField("merge", "more than one object")
	}
	return c, c.validate()
}

// SortColumns is the rank as NewOrder takes it.
func (c *Clause) SortColumns() []SortColumn {
	out := make([]SortColumn, len(c.Rank))
	for i, r := range c.Rank {
		out[i] = SortColumn{r.Column, r.Order == "desc"}
	}
	return out
}

// Canonical encodes the clause without its page. Spacing, the order of names, the form of numbers and an omitted order
// do not change the result. A cursor is bound to it, so that a client may change the size of pages from one page to the
// next. The clause must be valid.
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
