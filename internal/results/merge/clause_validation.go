package merge

import (
	"errors"
	"fmt"
	"slices"
)

// Bounds of a clause.
const (
	MaxRankColumns  = 8
	MaxAggregates   = 32
	MaxGroupColumns = 4
	MaxConditions   = 16
	MaxPageSize     = 1000 // rows
	MaxNameBytes    = 64   // of the name of a column or aggregate
)

var (
	functions = []string{"count", "sum", "min", "max", "mean", "quantile", "distinct"}
	operators = []string{"eq", "ne", "lt", "le", "gt", "ge"}
)

// ErrInvalidClause is wrapped by the errors of ParseClause. Their texts go to clients.
var ErrInvalidClause = errors.New("the merge cannot be used")

// invalidField makes an ErrInvalidClause for a field, which has its JSON name.
func invalidField(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalidClause, field, fmt.Sprintf(format, args...))
}

func validateName(field, s string) error {
	if s == "" || len(s) > MaxNameBytes {
		return invalidField(field, "a name of 1 to %d bytes, not %.70q", MaxNameBytes, s)
	}
	return nil
}

func validateCount(field string, n, most int) error {
	if n > most {
		return invalidField(field, "%d, %d at most", n, most)
	}
	return nil
}

// validate returns an error for the first field that is wrong.
func (c *Clause) validate() error {
	if len(c.Rank) == 0 && len(c.Aggregate) == 0 {
		return invalidField("merge", "neither rank nor aggregate")
	}
	if err := errors.Join(validateCount("rank", len(c.Rank), MaxRankColumns),
		validateCount("aggregate", len(c.Aggregate), MaxAggregates),
		validateCount("group", len(c.Group), MaxGroupColumns), validateCount("filter", len(c.Filter), MaxConditions)); err != nil {
		return err
	}
	var seen []string
	for i, r := range c.Rank {
		field := fmt.Sprintf("rank[%d]", i)
		if err := validateName(field+".column", r.Column); err != nil {
			return err
		}
		if r.Order != "" && r.Order != "asc" && r.Order != "desc" {
			return invalidField(field+".order", "%q, not asc or desc", r.Order)
		}
		if slices.Contains(seen, r.Column) {
			return invalidField(field+".column", "%q stands twice", r.Column)
		}
		seen = append(seen, r.Column)
	}
	switch {
	case (c.Page == nil) != (len(c.Rank) == 0):
		return invalidField("page", "a rank has a page, and only a rank")
	case c.Page != nil && (c.Page.Size < 0 || c.Page.Size > MaxPageSize):
		return invalidField("page.size", "%d, 0 to %d", c.Page.Size, MaxPageSize)
	case len(c.Group) > 0 && len(c.Aggregate) == 0:
		return invalidField("group", "no aggregate")
	case !(c.MinWeight >= 0 && c.MinWeight <= 1):
		return invalidField("least", "%v, 0 to 1", c.MinWeight)
	}
	for i, g := range c.Group {
		if err := validateName(fmt.Sprintf("group[%d]", i), g); err != nil {
			return err
		}
		if slices.Contains(c.Group[:i], g) {
			return invalidField(fmt.Sprintf("group[%d]", i), "%q stands twice", g)
		}
	}
	seen = nil
	for i, f := range c.Aggregate {
		field := fmt.Sprintf("aggregate[%d]", i)
		if err := validateName(field+".name", f.Name); err != nil {
			return err
		}
		if slices.Contains(seen, f.Name) {
			return invalidField(field+".name", "%q stands twice", f.Name)
		}
		seen = append(seen, f.Name)
		if !slices.Contains(functions, f.Function) {
			return invalidField(field+".do", "%q, not one of %v", f.Function, functions)
		}
		if f.Column == "" && f.Function != "count" || len(f.Column) > MaxNameBytes {
			return invalidField(field+".of", "a column's name, not %.70q", f.Column)
		}
		if (f.Function == "quantile") != (f.Quantile != nil) || f.Quantile != nil && !(*f.Quantile >= 0 && *f.Quantile <= 1) {
			return invalidField(field+".q", "0 to 1, of a quantile and of nothing else")
		}
	}
	for i, t := range c.Filter {
		field := fmt.Sprintf("filter[%d]", i)
		if err := validateName(field+".column", t.Column); err != nil {
			return err
		}
		if !slices.Contains(operators, t.Operator) {
			return invalidField(field+".op", "%q, not one of %v", t.Operator, operators)
		}
		if _, err := t.Operand(); err != nil {
			return invalidField(field+".value", "%v", err)
		}
	}
	return nil
}
