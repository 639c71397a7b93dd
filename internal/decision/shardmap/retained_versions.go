package shardmap

import "slices"

// droppedQueries is the query count of a dropped version: so far below 0 that releases never bring it back to 0.
const droppedQueries = -1 << 30

// Acquire starts a query on the version in use, which is retained until Release.
func (m *Map) Acquire() *Version {
	m.current.queries++
	return m.current
}

// Release ends a query on the version that Acquire gave it. The version is freed with its last query.
func (m *Map) Release(version *Version) {
	version.queries--
	if version.queries == 0 && version != m.current {
		m.releaseUnused()
	}
}

// releaseUnused frees the versions that have no query, and the oldest ones beyond MaxVersions. Dropping one that has
// queries is safe: they carry their own buckets and weights, and only the count of versions needs the version.
func (m *Map) releaseUnused() {
	m.retained = slices.DeleteFunc(m.retained, func(version *Version) bool {
		return version != m.current && version.queries <= 0
	})
	for len(m.retained) > m.options.MaxVersions {
		m.retained[0].queries = droppedQueries
		m.retained = m.retained[1:]
		m.stats.DroppedVersions++
	}
	m.stats.MaxRetainedVersions = max(m.stats.MaxRetainedVersions, len(m.retained))
}

// DroppedVersions is how many versions were dropped at MaxVersions while queries were on them.
func (m *Map) DroppedVersions() uint64 { return m.stats.DroppedVersions }
