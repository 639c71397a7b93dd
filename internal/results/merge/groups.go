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
func NewGroups(columns []Column, maxGroups int) *Groups {
	return &Groups{columns: columns, maxGroups: maxGroups, byKey: map[string]*Group{}}
}

// groupKey encodes the values of a group. It is unambiguous, as formatted values contain no zero byte.
func groupKey(values []Value) string {
	var key []byte
	for _, value := range values {
		key = append(key, value.Kind.String()...)
		key = append(key, value.String()...)
		key = append(key, 0)
	}
	return string(key)
}

// GetOrCreate returns the group of the values. It makes one of no rows if there is none, or returns ErrTooMany.
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

// Insert adds a group. One that exists, or with another number of aggregates than columns, is an ErrDuplicate.
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

// Columns are the aggregated columns.
func (g *Groups) Columns() []Column { return g.columns }

// Combine adds all groups of another shard, or, if it returns an error, none of them.
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

// add combines one group into that of the same values; after an error a part of it may have been added.
func (g *Groups) add(group *Group) error {
	target, err := g.GetOrCreate(group.Values)
	if err != nil {
		return err
	}
	if len(target.Partials) != len(group.Partials) {
		return invalid(NoRow, ErrSchemaMismatch, "%d aggregates, not %d", len(group.Partials), len(target.Partials))
	}
	for i, partial := range group.Partials {
		if err := target.Partials[i].Combine(partial); err != nil {
			return err
		}
	}
	return nil
}

// Sorted returns the groups in the order of their values.
func (g *Groups) Sorted() []*Group {
	sorted := make([]*Group, 0, len(g.byKey))
	for _, group := range g.byKey {
		sorted = append(sorted, group)
	}
	slices.SortFunc(sorted, func(a, b *Group) int { return slices.CompareFunc(a.Values, b.Values, Compare) })
	return sorted
}
