package merge

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
)

// This file defines the JSON form of a clause. Cursors are bound to the encoding that Canonical returns, so the
// names, the order of the fields and the omission of empty fields must not change.

// Clause is the "merge" object of a query: how the client wants the rows of the shards ranked, aggregated and
// filtered.
type Clause struct {
	Rank      []RankColumn      `json:"rank,omitempty"`
	Page      *PageClause       `json:"page,omitempty"`
	Aggregate []AggregateClause `json:"aggregate,omitempty"`
	Group     []string          `json:"group,omitempty"` // columns
	Filter    []Condition       `json:"filter,omitempty"`
	// MinCompleteness is the least share of the query's weight to answer with. It applies if it is stricter than the
	// class's.
	MinCompleteness float64 `json:"least,omitempty"`
}

// RankColumn is one of the columns by which rows are ranked.
type RankColumn struct {
	Column string `json:"column"`
	Order  string `json:"order,omitempty"` // "" means OrderAscending
}

// Orders of a rank column.
const (
	OrderAscending  = "asc"
	OrderDescending = "desc"
)

// PageClause holds the size of a page in rows, and the cursor that the previous page returned; "" for the first page.
type PageClause struct {
	Size   int    `json:"size,omitempty"`
	Cursor string `json:"cursor,omitempty"`
}

// AggregateClause is one requested aggregate.
type AggregateClause struct {
	Name     string   `json:"name"` // of the aggregate in the answer
	Function string   `json:"do"`
	Column   string   `json:"of,omitempty"` // may be "" for FunctionCount, which then counts rows
	Quantile *float64 `json:"q,omitempty"`  // 0 to 1; for FunctionQuantile only
}

// Functions of an aggregate.
const (
	FunctionCount    = "count"
	FunctionSum      = "sum"
	FunctionMin      = "min"
	FunctionMax      = "max"
	FunctionMean     = "mean"
	FunctionQuantile = "quantile"
	FunctionDistinct = "distinct"
)

// Condition is one condition of the filter. A row passes the filter if it meets all conditions.
type Condition struct {
	Column   string          `json:"column"`
	Operator string          `json:"op"`
	Value    json.RawMessage `json:"value"` // decoded by Operand
}

// Operators of a condition.
const (
	OperatorEqual          = "eq"
	OperatorNotEqual       = "ne"
	OperatorLess           = "lt"
	OperatorLessOrEqual    = "le"
	OperatorGreater        = "gt"
	OperatorGreaterOrEqual = "ge"
)

// ParseClause decodes and validates a clause. Its error wraps ErrInvalidClause and names the first invalid field.
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

// SortColumns returns the rank in the form that NewOrder takes.
func (c *Clause) SortColumns() []SortColumn {
	columns := make([]SortColumn, len(c.Rank))
	for i, rank := range c.Rank {
		columns[i] = SortColumn{Column: rank.Column, Descending: rank.Order == OrderDescending}
	}
	return columns
}

// Canonical encodes the clause without its page. Spacing, the order of names, the form of numbers and an omitted
// order do not change the result. A cursor is bound to this encoding, so a client may change the page size from one
// page to the next. The clause must be valid.
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
		panic(err) // a valid clause can always be encoded
	}
	return text
}
