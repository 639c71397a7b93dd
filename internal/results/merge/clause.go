package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// Clause is what a client asks of a merge, as it stands in the query under "merge".
type Clause struct {
	Rank      []RankColumn      `json:"rank,omitempty"`
	Page      *PageClause       `json:"page,omitempty"`
	Aggregate []AggregateClause `json:"aggregate,omitempty"`
	Group     []string          `json:"group,omitempty"`
	Filter    []Condition       `json:"filter,omitempty"`
	MinWeight float64           `json:"least,omitempty"` // share of weight, if stricter than the class's
}

// RankColumn is one column of the rank.
type RankColumn struct {
	Column string `json:"column"`
	Order  string `json:"order,omitempty"` // asc, if absent, or desc
}

// PageClause is a page: its size, and the cursor of the page before.
type PageClause struct {
	Size   int    `json:"size,omitempty"`
	Cursor string `json:"cursor,omitempty"`
}

// AggregateClause is one aggregate.
type AggregateClause struct {
	Name     string   `json:"name"`
	Function string   `json:"do"`           // count, sum, min, max, mean, quantile or distinct
	Column   string   `json:"of,omitempty"` // column; count may do without
	Quantile *float64 `json:"q,omitempty"`  // of a quantile, 0 to 1
}

// Condition is one term of the filter: all must hold.
type Condition struct {
	Column   string          `json:"column"`
	Operator string          `json:"op"` // eq, ne, lt, le, gt or ge
	Value    json.RawMessage `json:"value"`
}

// ParseClause reads a clause and names the first field that cannot be.
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

// SortColumns is the rank as an order takes it.
func (c *Clause) SortColumns() []SortColumn {
	out := make([]SortColumn, len(c.Rank))
	for i, r := range c.Rank {
		out[i] = SortColumn{r.Column, r.Order == "desc"}
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
