package merge

import (
	"errors"
	"fmt"
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

var (
	does = []string{"count", "sum", "min", "max", "mean", "quantile", "distinct"}
	ops  = []string{"eq", "ne", "lt", "le", "gt", "ge"}
)

// ErrClause is wrapped by what Parse says; the message names the field.
var ErrClause = errors.New("the merge cannot be used")

func bad(field, format string, args ...any) error {
	return fmt.Errorf("%w: %s: %s", ErrClause, field, fmt.Sprintf(format, args...))
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
