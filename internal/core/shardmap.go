package core

import (
	"cmp"
	"fmt"
	"slices"

	"ternstage/internal/slicemap"
)

// ReshardingStats counts what became of parts that a change of the shard map affected, since the start.
type ReshardingStats struct {
	Replaced   uint64 `json:"parts_replaced"`  // went on as parts of other shards
	Split      uint64 `json:"parts_split"`     // of those, became more than one
	InFlight   uint64 `json:"parts_caught"`    // were in flight when their shard changed or was retired
	Paused     uint64 `json:"parts_paused"`    // waited, as a backend did not hold their shard
	Duplicates uint64 `json:"counted_twice"`   // answers dropped, as their buckets had arrived
	Stale      uint64 `json:"stale_requests"`  // named shards that are unknown
	Behind     uint64 `json:"behind_requests"` // named shards of a newer map than this broker's, and were rejected
}

// ReshardingStats gives the counters since the start.
func (c *Core) ReshardingStats() ReshardingStats { return c.resharding }

// OnNewerMap sets the function that is called when a client or a backend knows a newer map, with its epoch.
func (c *Core) OnNewerMap(f func(epoch uint64)) { c.onNewerMap = f }

// OnMapChanged sets the function that is called after a map has been taken into use.
func (c *Core) OnMapChanged(f func(*slicemap.Version)) { c.onMapChanged = f }

// StaleEpochError is returned by Core.Submit if a shard that the client named is unknown, as its map is too old.
type StaleEpochError struct {
	Epoch uint64 // of the map in use
	Err   error  // of slicemap.Map.Resolve
}

// Error goes to clients in bodies.
func (e *StaleEpochError) Error() string { return fmt.Sprintf("%v: %v", ErrInvalidRequest, e.Err) }

// Unwrap gives ErrInvalidRequest and the map's own error.
func (e *StaleEpochError) Unwrap() []error { return []error{ErrInvalidRequest, e.Err} }

// resolve finds the districts of a request's parts and how many calls they take by the map in use; 0 if there
// is no map yet, or none as new as the client's: then we are behind, and trying again is harmless.
func (c *Core) resolve(r *Request) (legs int, err error) {
	epoch := c.shardMap.Current().Epoch
	if r.Epoch > epoch {
		c.onNewerMap(r.Epoch) // the client has seen a newer map than we have
	}
	if epoch == 0 {
		return 0, nil
	}
	ranges := make([]slicemap.Range, 0, len(r.Parts))
	r.clientParts = make([]*clientPart, 0, len(r.Parts))
	var buf [8]slicemap.Segment
	for i, p := range r.Parts {
		d, err := c.shardMap.Resolve(p.Shard)
		if err != nil && r.Epoch > epoch {
			c.resharding.Behind++
			return 0, nil
		}
		if err != nil {
			c.resharding.Stale++
			return 0, &StaleEpochError{epoch, err}
		}
		out := c.shardMap.Route(buf[:0], p.Shard, d)
		legs += len(out)
		r.clientParts = append(r.clientParts, &clientPart{Part: p, Coverage: slicemap.NewCoverage(d, out), number: i + 1})
		ranges = append(ranges, d)
	}
	// Names of different epochs may mean the same districts: those would count twice.
	slices.SortFunc(ranges, func(a, b slicemap.Range) int { return cmp.Compare(a.Start, b.Start) })
	for i := 1; i < len(ranges); i++ {
		if ranges[i].Start < ranges[i-1].End {
			return 0, fmt.Errorf("%w: districts %v and %v are asked twice", ErrInvalidRequest, ranges[i-1], ranges[i])
		}
	}
	return legs, nil
}

// applyMapChange tells that the map has changed: retired are the slices that are in it no more.
func (c *Core) applyMapChange(retired []slicemap.ShardID) {
	now, epoch := c.clock.Now(), c.shardMap.Current().Epoch
	c.scheduler.PlacementChanged()
	for _, id := range retired {
		for _, p := range slices.Clone(c.partsByShard[id]) {
			if n := len(p.attempts); n > 0 && !p.attempts[n-1].ended {
				c.resharding.InFlight++
			}
			c.reroute(now, p)
		}
	}
	c.paused = slices.DeleteFunc(c.paused, func(p *partState) bool {
		if p.resumeEpoch > epoch {
			return false
		}
		p.resumeEpoch = 0
		c.scheduler.ResumePart(p.id)
		return true
	})
	c.clock.WakeAt(0) // what waited is decided on now
}

// ApplySnapshot takes a whole map into use. On an error, slicemap.ValidationError, the one in use stays.
func (c *Core) ApplySnapshot(snapshot slicemap.Snapshot) error {
	retired, err := c.shardMap.Reset(snapshot)
	return c.mapApplied(retired, err)
}

// ApplyChanges takes changes of the map into use, all or, on an error, none. backends are the names of those that may
// hold shards; none for any.
func (c *Core) ApplyChanges(changes []slicemap.Change, backends []string) error {
	retired, err := c.shardMap.Apply(changes, backends)
	return c.mapApplied(retired, err)
}

func (c *Core) mapApplied(retired []slicemap.ShardID, err error) error {
	if err == nil && c.Epoch() != c.notifiedEpoch {
		c.notifiedEpoch = c.Epoch()
		c.applyMapChange(retired)
		if n := c.shardMap.DroppedVersions(); n != c.droppedVersions {
			c.log.SchedulerLine(fmt.Sprintf("map versions at their bound: %d let go, %d in all", n-c.droppedVersions, n))
			c.droppedVersions = n
		}
		if c.onMapChanged != nil {
			c.onMapChanged(c.shardMap.Current())
		}
	}
	return err
}

// Epoch is that of the shard map in use; 0 before the first. It must not be called where placement is fixed.
func (c *Core) Epoch() uint64 { return c.shardMap.Current().Epoch }
