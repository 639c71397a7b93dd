package world

import (
	"slices"

	"ternstage/internal/decision/shardmap"
)

const (
	maxMapHistory    = 512  // map versions kept for clients with a stale map and for checks of what backends held
	maxRetiredShards = 1024 // retired shards in a snapshot
	maxChangeLog     = 4096 // changes from which a watch can resume; one that lags further gets a snapshot
)

// timedVersion is a version of the shard map and the time from which it was current.
type timedVersion struct {
	since   float64 // ms
	version *shardmap.Version
}

// versionAt returns the map version that a reader of the catalogue had at a time. During an outage it is the
// version from before the outage.
func (f *fleet) versionAt(at float64) *shardmap.Version {
	for _, o := range f.world.e.Updates.Outages {
		if elapsed := at - clockStartMs; elapsed >= o.At && elapsed < o.At+o.For {
			at = clockStartMs + o.At
		}
	}
	i := len(f.mapHistory) - 1
	for i > 0 && f.mapHistory[i].since > at {
		i--
	}
	return f.mapHistory[i].version
}

// applyChange applies a change to the shard map, informs the backends and wakes the watches. It reports whether
// the change is valid.
func (f *fleet) applyChange(c shardmap.Change) bool {
	s := f.world
	cur := f.shardMap.Current()
	c.Base, c.Epoch = cur.Epoch, cur.Epoch+1
	if _, err := f.shardMap.Apply([]shardmap.Change{c}, nil); err != nil {
		return false
	}
	f.changeCount++
	v := f.shardMap.Current()
	if f.mapHistory = append(f.mapHistory, timedVersion{s.now, v}); len(f.mapHistory) > maxMapHistory {
		f.mapHistory = slices.Delete(f.mapHistory, 0, len(f.mapHistory)-maxMapHistory/2)
	}
	if f.changeLog = append(f.changeLog, c); len(f.changeLog) > maxChangeLog {
		f.changeLog = slices.Delete(f.changeLog, 0, len(f.changeLog)-maxChangeLog/2)
	}
	for _, n := range f.backends {
		gen := n.gen
		s.schedule(s.now+s.e.Updates.BackendDelay.Draw(s.networkRand), func() {
			if gen == n.gen {
				n.UpdateMap(v)
			}
		})
	}
	watchers := f.watchers
	f.watchers = nil
	for _, w := range watchers {
		w()
	}
	return true
}

// catalogueAnswer is an answer of the catalogue: a snapshot or changes.
type catalogueAnswer struct {
	version   *shardmap.Version // nil if it holds changes
	retired   []shardmap.RetiredShard
	changes   []shardmap.Change
	epoch     uint64
	malformed bool // the broker must reject it
}

// poll answers a call to the catalogue. It calls deliver with the answer, twice if the answer is duplicated, or
// fail if the call fails.
func (f *fleet) poll(call shardmap.PollRequest, fail func(), deliver func(catalogueAnswer)) {
	s := f.world
	if s.networkRand.Float64() < s.e.Updates.LostShare { // the answer is lost
		s.schedule(s.now+call.TimeoutMs, fail)
		return
	}
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		if f.isCatalogueDown() {
			s.schedule(s.now+s.networkDelay(), fail)
			return
		}
		response := f.currentAnswer(call)
		s.schedule(s.now+s.e.Updates.CatalogueDelay.Draw(s.networkRand), func() { deliver(response) })
		if s.networkRand.Float64() < s.e.Updates.DuplicateShare { // a duplicate arrives later and out of order
			s.schedule(s.now+500+s.e.Updates.CatalogueDelay.Draw(s.networkRand), func() { deliver(response) })
		}
	}
	s.schedule(s.now+s.networkDelay(), func() {
		if f.isCatalogueDown() || call.FullSnapshot || call.WaitMs == 0 || f.shardMap.Current().Epoch > call.SinceEpoch {
			answer()
			return
		}
		f.watchers = append(f.watchers, answer)
		s.schedule(s.now+call.WaitMs, answer)
		for _, o := range s.e.Updates.Outages { // watches end when the catalogue goes down
			if at := clockStartMs + o.At; at > s.now && at < s.now+call.WaitMs {
				s.schedule(at, answer)
			}
		}
	})
}

// isCatalogueDown reports whether the catalogue is in an outage.
func (f *fleet) isCatalogueDown() bool {
	for _, o := range f.world.e.Updates.Outages {
		if at := f.world.now - clockStartMs; at >= o.At && at < o.At+o.For {
			return true
		}
	}
	return false
}

// currentAnswer returns the answer to a call at this moment. A share of the answers is malformed.
func (f *fleet) currentAnswer(call shardmap.PollRequest) catalogueAnswer {
	s := f.world
	cur := f.shardMap.Current()
	a := catalogueAnswer{epoch: cur.Epoch, malformed: s.networkRand.Float64() < s.e.Updates.MalformedShare}
	i := slices.IndexFunc(f.changeLog, func(x shardmap.Change) bool { return x.Base == call.SinceEpoch })
	if call.FullSnapshot || i < 0 && cur.Epoch != call.SinceEpoch {
		a.version, a.retired = cur, f.shardMap.Retired(maxRetiredShards)
		return a
	}
	if i >= 0 {
		if s.networkRand.Float64() < s.e.Updates.DuplicateShare {
			i = max(0, i-2) // includes changes that the caller already has
		}
		a.changes = slices.Clone(f.changeLog[i:])
	}
	if n := len(a.changes); n > 0 && a.malformed {
		a.changes[n-1].Base++ // the base epoch does not match
	}
	return a
}

// snapshot returns the snapshot of an answer. A malformed one lacks its first shard.
func (a catalogueAnswer) snapshot() shardmap.Snapshot {
	w := snapshotOf(a.version, a.retired)
	if a.malformed {
		w.Shards = w.Shards[1:]
	}
	return w
}

// retiredAsOf returns the shards that were already retired in a version.
func (f *fleet) retiredAsOf(v *shardmap.Version) (out []shardmap.RetiredShard) {
	highest := 0
	v.All(func(x *shardmap.Shard) bool { highest = max(highest, x.ID); return true })
	for _, r := range f.shardMap.Retired(maxRetiredShards) {
		if r.ID < highest && v.Shard(r.ID) == nil {
			out = append(out, r)
		}
	}
	return out
}

// snapshotOf returns a snapshot of a version. It copies the shards, as a map takes ownership of those it is given.
func snapshotOf(v *shardmap.Version, retired []shardmap.RetiredShard) shardmap.Snapshot {
	w := shardmap.Snapshot{Epoch: v.Epoch, Buckets: v.Buckets, Retired: retired,
		Shards: make([]*shardmap.Shard, 0, v.Len())}
	v.All(func(s *shardmap.Shard) bool {
		x := *s
		w.Shards = append(w.Shards, &x)
		return true
	})
	return w
}
