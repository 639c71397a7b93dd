package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// This file maps the JSON names of a clause. Cursors are bound to the text that Canonical makes: the names, the order
// of the fields and what is omitted must not change.

// Clause is what a client asks of a merge: the object "merge" of a query.
type Clause struct {
	Rank            []RankColumn      `json:"rank,omitempty"`
	Page            *PageClause       `json:"page,omitempty"`
	Aggregate       []AggregateClause `json:"aggregate,omitempty"`
	Group           []string          `json:"group,omitempty"` // columns
	Filter          []Condition       `json:"filter,omitempty"`
	MinCompleteness float64           `json:"least,omitempty"` // share of the query's weight, if stricter than the class's
}

// RankColumn is one column of the rank.
type RankColumn struct {
	Column string `json:"column"`
	Order  string `json:"order,omitempty"` // "" is OrderAscending
}

// The orders of a rank column.
const (
	OrderAscending  = "asc"
	OrderDescending = "desc"
)

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

// The functions of an aggregate.
const (
	FunctionCount    = "count"
	FunctionSum      = "sum"
	FunctionMin      = "min"
	FunctionMax      = "max"
	FunctionMean     = "mean"
	FunctionQuantile = "quantile"
	FunctionDistinct = "distinct"
)

// Condition is one condition of the filter. Rows pass that meet all conditions.
type Condition struct {
	Column   string          `json:"column"`
	Operator string          `json:"op"`
	Value    json.RawMessage `json:"value"` // see Operand
}

// The operators of a condition.
const (
	OperatorEqual          = "eq"
	OperatorNotEqual       = "ne"
	OperatorLess           = "lt"
	OperatorLessOrEqual    = "le"
	OperatorGreater        = "gt"
	OperatorGreaterOrEqual = "ge"
)

// ParseClause reads a clause. The error wraps ErrInvalidClause and names the first field that is wrong.
func ParseClause(text []byte) (*Clause, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	clause := &Clause{}
	if err := decoder.Decode(clause); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidClause, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, invalidField("merge", "more than one object")
	}
	return clause, clause.validate()
}

// SortColumns is the rank as NewOrder takes it.
func (c *Clause) SortColumns() []SortColumn {
	columns := make([]SortColumn, len(c.Rank))
	for i, rank := range c.Rank {
		columns[i] = SortColumn{Column: rank.Column, Descending: rank.Order == OrderDescending}
	}
	return columns
}

// Canonical encodes the clause without its page. Spacing, the order of names, the form of numbers and an omitted order
// do not change the result. A cursor is bound to it, so that a client may change the size of pages from one page to the
// next. The clause must be valid.
func (c *Clause) Canonical() []byte {
	canonical := *c
	canonical.Page = nil
	canonical.Rank = slices.Clone(c.Rank)
	for i := range canonical.Rank {
		if canonical.Rank[i].Order == "" {
			canonical.Rank[i].Order = OrderAscending
		}
	}
	canonical.Filter = slices.Clone(c.Filter)
	for i, condition := range canonical.Filter {
		if operand, err := condition.Operand(); err == nil && operand.Kind != Text {
			canonical.Filter[i].Value = []byte(operand.String())
		}
	}
	text, err := json.Marshal(canonical)
	if err != nil {
		panic(err) // not of a valid clause
	}
	return text
}
