package core

import (
	"fmt"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// ReshardingStats counts, since the start, what happened to parts and requests because the shard map changed.
type ReshardingStats struct {
	Replaced   uint64 `json:"parts_replaced"`  // parts replaced by parts of other shards
	Split      uint64 `json:"parts_split"`     // of those, parts replaced by more than one
	InFlight   uint64 `json:"parts_caught"`    // parts in flight when their shard was retired
	Paused     uint64 `json:"parts_paused"`    // retries delayed because a backend did not hold the shard
	Duplicates uint64 `json:"counted_twice"`   // answers to buckets that had arrived already
	Stale      uint64 `json:"stale_requests"`  // requests that named unknown shards
	Behind     uint64 `json:"behind_requests"` // requests rejected because they named shards of a newer map
}

// ReshardingStats returns the counts since the start.
func (c *Core) ReshardingStats() ReshardingStats { return c.reshardingStats }

// OnNewerMap sets the function to call with the epoch when a client or a backend knows a newer map. By default none
// is called.
func (c *Core) OnNewerMap(notify func(epoch uint64)) { c.onNewerMap = notify }

// OnMapChanged sets the function to call after a new version of the map has been taken into use. By default none is
// called.
func (c *Core) OnMapChanged(notify func(*shardmap.Version)) { c.onMapChanged = notify }

// ApplySnapshot replaces the shard map by a snapshot. On an error the map in use remains.
func (c *Core) ApplySnapshot(snapshot shardmap.Snapshot) error {
	retired, err := c.shardMap.Reset(snapshot)
	return c.completeMapUpdate(retired, err)
}

// ApplyChanges applies changes to the map: all of them or, on an error, none. backends are the names of the backends
// that may hold shards; an empty list allows any.
func (c *Core) ApplyChanges(changes []shardmap.Change, backends []string) error {
	retired, err := c.shardMap.Apply(changes, backends)
	return c.completeMapUpdate(retired, err)
}

// completeMapUpdate is the common end of ApplySnapshot and ApplyChanges. If the epoch in use has changed, it adapts
// the open requests and reports the new version. It returns the error of the update.
func (c *Core) completeMapUpdate(retired []shardmap.ShardID, err error) error {
	if err != nil {
		return err
	}
	if c.Epoch() == c.notifiedEpoch {
		return nil
	}
	c.notifiedEpoch = c.Epoch()
	c.applyMapChange(retired)
	c.logDroppedVersions()
	if c.onMapChanged != nil {
		c.onMapChanged(c.shardMap.Current())
	}
	return nil
}

// applyMapChange reroutes the parts of retired shards, resumes the parts that wait for the epoch in use, and requests
// a round so that the scheduler decides on them.
func (c *Core) applyMapChange(retired []shardmap.ShardID) {
	now := c.clock.Now()
	c.scheduler.PlacementChanged()
	for _, id := range retired {
		for _, part := range slices.Clone(c.partsByShard[id]) { // reroutePart changes the list
			if part.isLastAttemptInFlight() {
				c.reshardingStats.InFlight++
			}
			c.reroutePart(now, part)
		}
	}
	c.resumeParts(c.Epoch())
	c.clock.WakeAt(0)
}

// resumeParts ends the pause of the parts that wait for the given epoch or an older one.
func (c *Core) resumeParts(epoch uint64) {
	waiting := c.pausedParts[:0]
	for _, part := range c.pausedParts {
		if part.segment.resumeEpoch > epoch {
			waiting = append(waiting, part)
			continue
		}
		part.segment.resumeEpoch = 0
		c.scheduler.ResumePart(part.id)
	}
	clear(c.pausedParts[len(waiting):])
	c.pausedParts = waiting
}

// logDroppedVersions logs how many versions of the map were dropped since its last log line, if any were.
func (c *Core) logDroppedVersions() {
	total := c.shardMap.DroppedVersions()
	if total == c.loggedDroppedVersions {
		return
	}
	c.log.SchedulerLine(fmt.Sprintf("shard map: %d versions dropped at the limit, %d since the start",
		total-c.loggedDroppedVersions, total))
	c.loggedDroppedVersions = total
}

// Epoch returns the epoch of the shard map in use, or 0 before the first map. It must not be called where placement
// is fixed.
func (c *Core) Epoch() uint64 { return c.shardMap.Current().Epoch }
