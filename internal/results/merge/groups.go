package merge

import "slices"

// Groups is aggregates by group. The number of groups is bounded.
type Groups struct {
	columns   []Column // that are aggregated
	maxGroups int
	byKey     map[string]*Group // by groupKey of the values
}

// Group is the aggregates of one group.
type Group struct {
	Values   []Value             // of the columns by which rows are grouped
	Partials []*PartialAggregate // one for each aggregated column
}

// NewGroups makes an empty set of at most maxGroups groups.
func NewGroups(columns []Column, most int) *Groups {
	return &Groups{columns: columns, maxGroups: most, byKey: map[string]*Group{}}
}

// groupKey encodes the values of a group. It is unambiguous, as formatted values contain no zero byte.
func groupKey(values []Value) string {
	var b []byte
	for _, v := range values {
		b = append(b, v.Kind.String()...)
		b = append(b, v.String()...)
		b = append(b, 0)
	}
	return string(b)
}

// GetOrCreate returns the group of the values. It makes one of no rows if there is none, or returns ErrTooMany.
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

// Insert adds a group. One that exists, or with another number of aggregates than columns, is an ErrDuplicate.
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

// Columns are the aggregated columns.
func (g *Groups) Columns() []Column { return g.columns }

// Combine adds all groups of another shard, or, if it returns an error, none of them.
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

// Sorted returns the groups in the order of their values.
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
