package merge

import "slices"

// Groups are aggregates by group: the values of the group's columns, and a partial for each aggregated
// column.
type Groups struct {
	columns   []Column
	maxGroups int
	byKey     map[string]*Group
}

// Group is one group.
type Group struct {
	Values   []Value
	Partials []*PartialAggregate
}

// NewGroups makes an empty set of at most so many groups.
func NewGroups(columns []Column, most int) *Groups {
	return &Groups{columns: columns, maxGroups: most, byKey: map[string]*Group{}}
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

// GetOrCreate is the group of these values; an error beyond the bound.
func (g *Groups) GetOrCreate(values []Value) (*Group, error) {
	key := groupKey(values)
	if x := g.byKey[key]; x != nil {
		return x, nil
	}
	if len(g.byKey) >= g.maxGroups {
		return nil, invalid(-1, ErrTooMany, "more than %d groups", g.maxGroups)
	}
	x := &Group{Values: slices.Clone(values)}
	for _, c := range g.columns {
		p, err := NewPartialAggregate(c)
		if err != nil {
			return nil, err
		}
		x.Partials = append(x.Partials, p)
	}
	g.byKey[key] = x
	return x, nil
}

// Insert adds a group that is not there yet.
func (g *Groups) Insert(values []Value, partials []*PartialAggregate) error {
	n := len(g.byKey)
	x, err := g.GetOrCreate(values)
	if err != nil {
		return err
	}
	if len(g.byKey) == n || len(partials) != len(g.columns) {
		return invalid(-1, ErrDuplicate, "group %v", values)
	}
	x.Partials = partials
	return nil
}

// Columns are those that are aggregated.
func (g *Groups) Columns() []Column { return g.columns }

// Combine takes another slice's groups in, or none of them.
func (g *Groups) Combine(o *Groups) error {
	next := NewGroups(g.columns, g.maxGroups)
	for _, from := range []*Groups{g, o} {
		for _, x := range from.byKey {
			to, err := next.GetOrCreate(x.Values)
			if err != nil {
				return err
			}
			if len(to.Partials) != len(x.Partials) {
				return invalid(-1, ErrSchemaMismatch, "%d aggregates, not %d", len(x.Partials), len(to.Partials))
			}
			for i, p := range x.Partials {
				if err := to.Partials[i].Combine(p); err != nil {
					return err
				}
			}
		}
	}
	g.byKey = next.byKey
	return nil
}

// Sorted are the groups in order of their values.
func (g *Groups) Sorted() []*Group {
	out := make([]*Group, 0, len(g.byKey))
	for _, x := range g.byKey {
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
