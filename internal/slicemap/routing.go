package slicemap

import "fmt"

// Segment is districts of a part that one slice holds: what one call asks for.
type Segment struct {
	Shard ShardID
	Range
}

// Route appends to legs what holds the districts of r at this version: one leg where slice id still holds
// them all, else one for each slice that holds some. It allocates nothing on that first path, where legs has
// room.
func (v *Version) Route(legs []Segment, id ShardID, r Range) []Segment {
	if s, ok := v.byID.Get(id); ok && s.Contains(r) {
		return append(legs, Segment{id, r})
	}
	it := v.byLast.Iterator()
	for it.Seek(r.Start); !it.Done(); {
		_, s, _ := it.Next()
		if s.Start >= r.End {
			break
		}
		legs = append(legs, Segment{s.ID, Range{max(s.Start, r.Start), min(s.End, r.End)}})
	}
	return legs
}

// Route is Version.Route for the version in use, and quicker.
func (m *Map) Route(legs []Segment, id ShardID, r Range) []Segment {
	if s := m.now[id]; s != nil && s.Contains(r) {
		return append(legs, Segment{id, r})
	}
	return m.cur.Route(legs, id, r)
}

// ErrStale is wrapped where a slice that a client named cannot be understood.
var ErrStale = fmt.Errorf("%w, or retired too long ago", ErrShard)

// Resolve gives the districts of a slice that a client named, at whatever epoch that was: ids are never used
// again, so what is retired is translated by what is kept of it.
func (m *Map) Resolve(id ShardID) (Range, error) {
	if s := m.now[id]; s != nil {
		return s.Range, nil
	}
	if r, ok := m.history[id]; ok {
		return r, nil
	}
	return Range{}, fmt.Errorf("slice %d at epoch %d: %w", id, m.cur.Epoch, ErrStale)
}
