package merge

import (
	"errors"
	"fmt"
	"slices"
)

// Limits of a clause.
const (
	MaxRankColumns  = 8
	MaxAggregates   = 32
	MaxGroupColumns = 4
	MaxConditions   = 16
	MaxPageSize     = 1000 // rows
	MaxNameBytes    = 64   // length of the name of a column or aggregate
)

var (
	functions = []string{FunctionCount, FunctionSum, FunctionMin, FunctionMax, FunctionMean, FunctionQuantile,
		FunctionDistinct}
	operators = []string{OperatorEqual, OperatorNotEqual, OperatorLess, OperatorLessOrEqual, OperatorGreater,
		OperatorGreaterOrEqual}
)

// ErrInvalidClause is wrapped by the errors of ParseClause. Clients see their texts.
var ErrInvalidClause = errors.New("invalid merge clause")

// invalidField returns an ErrInvalidClause for the field with a JSON name.
func invalidField(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrInvalidClause, field, fmt.Sprintf(format, args...))
}

// validate returns an error for the first invalid field.
func (c *Clause) validate() error {
	if len(c.Rank) == 0 && len(c.Aggregate) == 0 {
		return invalidField("merge", "neither rank nor aggregate")
	}
	if err := errors.Join(validateCount("rank", len(c.Rank), MaxRankColumns),
		validateCount("aggregate", len(c.Aggregate), MaxAggregates),
		validateCount("group", len(c.Group), MaxGroupColumns),
		validateCount("filter", len(c.Filter), MaxConditions)); err != nil {
		return err
	}
	for _, validate := range []func() error{c.validateRank, c.validatePageAndCompleteness, c.validateGroup,
		c.validateAggregates, c.validateFilter} {
		if err := validate(); err != nil {
			return err
		}
	}
	return nil
}

func validateCount(field string, count, maxCount int) error {
	if count > maxCount {
		return invalidField(field, "%d, not at most %d", count, maxCount)
	}
	return nil
}

func validateName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return invalidField(field, "%.70q, not a name of 1 to %d bytes", name, MaxNameBytes)
	}
	return nil
}

func (c *Clause) validateRank() error {
	var columns []string
	for i, rank := range c.Rank {
		field := fmt.Sprintf("rank[%d]", i)
		if err := validateName(field+".column", rank.Column); err != nil {
			return err
		}
		if rank.Order != "" && rank.Order != OrderAscending && rank.Order != OrderDescending {
			return invalidField(field+".order", "%q, not asc or desc", rank.Order)
		}
		if slices.Contains(columns, rank.Column) {
			return invalidField(field+".column", "duplicate %q", rank.Column)
		}
		columns = append(columns, rank.Column)
	}
	return nil
}

// validatePageAndCompleteness checks that rank and page, and group and aggregate, are given together. It also checks
// the page size and the minimum completeness.
func (c *Clause) validatePageAndCompleteness() error {
	switch {
	case (c.Page == nil) != (len(c.Rank) == 0):
		return invalidField("page", "page and rank must be given together")
	case c.Page != nil && (c.Page.Size < 0 || c.Page.Size > MaxPageSize):
		return invalidField("page.size", "%d, not 0 to %d", c.Page.Size, MaxPageSize)
	case len(c.Group) > 0 && len(c.Aggregate) == 0:
		return invalidField("group", "no aggregate")
	case !(c.MinCompleteness >= 0 && c.MinCompleteness <= 1): // also rejects NaN
		return invalidField("least", "%v, not 0 to 1", c.MinCompleteness)
	}
	return nil
}

func (c *Clause) validateGroup() error {
	for i, column := range c.Group {
		field := fmt.Sprintf("group[%d]", i)
		if err := validateName(field, column); err != nil {
			return err
		}
		if slices.Contains(c.Group[:i], column) {
			return invalidField(field, "duplicate %q", column)
		}
	}
	return nil
}

func (c *Clause) validateAggregates() error {
	var names []string
	for i := range c.Aggregate {
		aggregate := &c.Aggregate[i]
		field := fmt.Sprintf("aggregate[%d]", i)
		if err := validateName(field+".name", aggregate.Name); err != nil {
			return err
		}
		if slices.Contains(names, aggregate.Name) {
			return invalidField(field+".name", "duplicate %q", aggregate.Name)
		}
		names = append(names, aggregate.Name)
		if err := aggregate.validateFunction(field); err != nil {
			return err
		}
	}
	return nil
}

// validateFunction checks the function, its column and its quantile. The field is the JSON name of the aggregate.
func (a *AggregateClause) validateFunction(field string) error {
	if !slices.Contains(functions, a.Function) {
		return invalidField(field+".do", "%q, not one of %v", a.Function, functions)
	}
	if a.Column == "" && a.Function != FunctionCount || len(a.Column) > MaxNameBytes {
		return invalidField(field+".of", "%.70q, not the name of a column", a.Column)
	}
	needsQuantile := a.Function == FunctionQuantile
	if needsQuantile != (a.Quantile != nil) || a.Quantile != nil && !(*a.Quantile >= 0 && *a.Quantile <= 1) {
		return invalidField(field+".q", "must be 0 to 1 for a quantile and absent for any other function")
	}
	return nil
}

func (c *Clause) validateFilter() error {
	for i, condition := range c.Filter {
		field := fmt.Sprintf("filter[%d]", i)
		if err := validateName(field+".column", condition.Column); err != nil {
			return err
		}
		if !slices.Contains(operators, condition.Operator) {
			return invalidField(field+".op", "%q, not one of %v", condition.Operator, operators)
		}
		if _, err := condition.Operand(); err != nil {
			return invalidField(field+".value", "%v", err)
		}
	}
	return nil
}
