package shardmap

import "slices"

// droppedQueries is the query count of a dropped version. Releases decrement it further, so it never becomes 0 again.
const droppedQueries = -1 << 30

// Acquire starts a query on the version in use and returns that version, which is retained until Release.
func (m *Map) Acquire() *Version {
	m.current.activeQueries++
	return m.current
}

// Release ends a query on the version that Acquire returned. The last query to end frees the version, unless it is
// the one in use.
func (m *Map) Release(version *Version) {
	version.activeQueries--
	if version.activeQueries == 0 && version != m.current {
		m.releaseUnused()
	}
}

// releaseUnused frees the versions without queries, and drops the oldest ones beyond MaxVersions. A version may be
// dropped while queries are on it: they carry their own buckets and weights, and the version only counts them.
func (m *Map) releaseUnused() {
	m.retained = slices.DeleteFunc(m.retained, func(version *Version) bool {
		return version != m.current && version.activeQueries <= 0
	})
	for len(m.retained) > m.options.MaxVersions {
		m.retained[0].activeQueries = droppedQueries
		m.retained = m.retained[1:]
		m.stats.DroppedVersions++
	}
	m.stats.MaxRetainedVersions = max(m.stats.MaxRetainedVersions, len(m.retained))
}

// DroppedVersions returns how many versions were dropped at MaxVersions while queries were on them.
func (m *Map) DroppedVersions() uint64 { return m.stats.DroppedVersions }
