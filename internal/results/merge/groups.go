package merge

import "slices"

// Groups are aggregates by group: the values of the group's columns, and a partial for each aggregated
// column.
type Groups struct {
	columns []Column
	most    int
	by      map[string]*Group
}

// Group is one group.
type Group struct {
	Values   []Value
	Partials []*Partial
}

// NewGroups makes an empty set of at most so many groups.
func NewGroups(columns []Column, most int) *Groups {
	return &Groups{columns: columns, most: most, by: map[string]*Group{}}
}

func groupKey(values []Value) string {
	var b []byte
	for _, v := range values {
		b = append(b, v.Kind.String()...)
		b = append(b, v.String()...)
		b = append(b, 0)
	}
	return string(b)
}

// Of is the group of these values; an error beyond the bound.
func (g *Groups) Of(values []Value) (*Group, error) {
	key := groupKey(values)
	if x := g.by[key]; x != nil {
		return x, nil
	}
	if len(g.by) >= g.most {
		return nil, fault(-1, ErrTooMany, "more than %d groups", g.most)
	}
	x := &Group{Values: slices.Clone(values)}
	for _, c := range g.columns {
		p, err := NewPartial(c)
		if err != nil {
			return nil, err
		}
		x.Partials = append(x.Partials, p)
	}
	g.by[key] = x
	return x, nil
}

// Put adds a group that is not there yet.
func (g *Groups) Put(values []Value, partials []*Partial) error {
	n := len(g.by)
	x, err := g.Of(values)
	if err != nil {
		return err
	}
	if len(g.by) == n || len(partials) != len(g.columns) {
		return fault(-1, ErrTwice, "group %v", values)
	}
	x.Partials = partials
	return nil
}

// Columns are those that are aggregated.
func (g *Groups) Columns() []Column { return g.columns }

// Combine takes another slice's groups in, or none of them.
func (g *Groups) Combine(o *Groups) error {
	next := NewGroups(g.columns, g.most)
	for _, from := range []*Groups{g, o} {
		for _, x := range from.by {
			to, err := next.Of(x.Values)
			if err != nil {
				return err
			}
			if len(to.Partials) != len(x.Partials) {
				return fault(-1, ErrSchema, "%d aggregates, not %d", len(x.Partials), len(to.Partials))
			}
			for i, p := range x.Partials {
				if err := to.Partials[i].Combine(p); err != nil {
					return err
				}
			}
		}
	}
	g.by = next.by
	return nil
}

// All are the groups in order of their values.
func (g *Groups) All() []*Group {
	out := make([]*Group, 0, len(g.by))
	for _, x := range g.by {
		out = append(out, x)
	}
	slices.SortFunc(out, func(a, b *Group) int {
		for i := range a.Values {
			if c := Compare(a.Values[i], b.Values[i]); c != 0 {
				return c
			}
		}
		return 0
	})
	return out
}
