package slicemap

import "slices"

// Acquire binds a query to the version in use; End must follow.
func (m *Map) Acquire() *Version {
	m.cur.refs++
	return m.cur
}

// Release frees a query's hold on its version; the last one frees the version.
func (m *Map) Release(v *Version) {
	if v.refs--; v.refs == 0 && v != m.cur {
		m.sweep()
	}
}

// sweep frees versions that no query is bound to. At the bound the oldest is let go though queries began on
// it: they carry their own districts and weights, and lose only their place in the count of versions.
func (m *Map) sweep() {
	m.kept = slices.DeleteFunc(m.kept, func(v *Version) bool { return v != m.cur && v.refs <= 0 })
	for len(m.kept) > m.o.MaxVersions {
		m.kept[0].refs = -1 << 30
		m.kept = m.kept[1:]
		m.stats.DroppedVersions++
	}
	m.stats.MaxRetainedVersions = max(m.stats.MaxRetainedVersions, len(m.kept))
}

// DroppedVersions is how many versions were let go at the bound.
func (m *Map) DroppedVersions() uint64 { return m.stats.DroppedVersions }
