package merge

import "slices"

// Groups holds the aggregates of a query by group. The number of groups is bounded.
type Groups struct {
	columns   []Column // the aggregated ones
	maxGroups int
	byKey     map[string]*Group // by groupKey of their values
}

// Group holds the values that identify a group, and its aggregates.
type Group struct {
	Values   []Value             // of the columns that rows are grouped by
	Partials []*PartialAggregate // one for each aggregated column
}

// NewGroups returns an empty set that can hold at most maxGroups groups.
func NewGroups(columns []Column, maxGroups int) *Groups {
	return &Groups{columns: columns, maxGroups: maxGroups, byKey: map[string]*Group{}}
}

// groupKey encodes the values of a group. The encoding is unambiguous because formatted values contain no zero byte.
func groupKey(values []Value) string {
	var key []byte
	for _, value := range values {
		key = append(key, value.Kind.String()...)
		key = append(key, value.String()...)
		key = append(key, 0)
	}
	return string(key)
}

// GetOrCreate returns the group with the given values. If there is none, it creates one without rows. It returns
// ErrTooMany if that would exceed the bound.
func (g *Groups) GetOrCreate(values []Value) (*Group, error) {
	key := groupKey(values)
	if group := g.byKey[key]; group != nil {
		return group, nil
	}
	if len(g.byKey) >= g.maxGroups {
		return nil, invalid(NoRow, ErrTooMany, "more than %d groups", g.maxGroups)
	}
	group := &Group{Values: slices.Clone(values)}
	for _, column := range g.columns {
		partial, err := NewPartialAggregate(column)
		if err != nil {
			return nil, err
		}
		group.Partials = append(group.Partials, partial)
	}
	g.byKey[key] = group
	return group, nil
}

// Insert adds a group. It returns ErrDuplicate if the group exists already, or if there is not one aggregate for each
// column.
func (g *Groups) Insert(values []Value, partials []*PartialAggregate) error {
	before := len(g.byKey)
	group, err := g.GetOrCreate(values)
	if err != nil {
		return err
	}
	if len(g.byKey) == before || len(partials) != len(g.columns) {
		return invalid(NoRow, ErrDuplicate, "group %v", values)
	}
	group.Partials = partials
	return nil
}

// Columns returns the aggregated columns.
func (g *Groups) Columns() []Column { return g.columns }

// Combine adds all groups of another shard. If it returns an error, it has added none of them.
func (g *Groups) Combine(other *Groups) error {
	combined := NewGroups(g.columns, g.maxGroups)
	for _, groups := range []*Groups{g, other} {
		for _, group := range groups.byKey {
			if err := combined.add(group); err != nil {
				return err
			}
		}
	}
	g.byKey = combined.byKey
	return nil
}

// add combines a group with the one that has the same values. After an error some of its aggregates may have been
// combined.
func (g *Groups) add(group *Group) error {
	target, err := g.GetOrCreate(group.Values)
	if err != nil {
		return err
	}
	if len(target.Partials) != len(group.Partials) {
		return invalid(NoRow, ErrSchemaMismatch, "group %v: %d aggregates, not %d", group.Values, len(group.Partials),
			len(target.Partials))
	}
	for i, partial := range group.Partials {
		if err := target.Partials[i].Combine(partial); err != nil {
			return err
		}
	}
	return nil
}

// Sorted returns the groups, ordered by their values.
func (g *Groups) Sorted() []*Group {
	sorted := make([]*Group, 0, len(g.byKey))
	for _, group := range g.byKey {
		sorted = append(sorted, group)
	}
	slices.SortFunc(sorted, func(a, b *Group) int { return slices.CompareFunc(a.Values, b.Values, Compare) })
	return sorted
}
