package core

import (
	"fmt"
	"slices"

	"ternstage/internal/decision/shardmap"
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
func (c *Core) ReshardingStats() ReshardingStats { return c.reshardingStats }

// OnNewerMap sets the function that is called when a client or a backend knows a newer map, with its epoch. The
// default is none.
func (c *Core) OnNewerMap(notify func(epoch uint64)) { c.onNewerMap = notify }

// OnMapChanged sets the function that is called after a map has been taken into use. The default is none.
func (c *Core) OnMapChanged(notify func(*shardmap.Version)) { c.onMapChanged = notify }

// ApplySnapshot takes a snapshot of the shard map into use. On an error the map in use stays.
func (c *Core) ApplySnapshot(snapshot shardmap.Snapshot) error {
	retired, err := c.shardMap.Reset(snapshot)
	return c.completeMapUpdate(retired, err)
}

// ApplyChanges takes changes of the map into use, all or, on an error, none. backends are the names of those that may
// hold shards; none for any.
func (c *Core) ApplyChanges(changes []shardmap.Change, backends []string) error {
	retired, err := c.shardMap.Apply(changes, backends)
	return c.completeMapUpdate(retired, err)
}

// completeMapUpdate ends ApplySnapshot and ApplyChanges: it carries out the change if the epoch in use has changed, and
// returns the map's error.
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

// applyMapChange reroutes the parts of retired shards, resumes the parts that wait for the epoch in use, and asks for a
// round that decides on them.
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

// resumeParts ends the pause of the parts that wait for this epoch or an older one.
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

// logDroppedVersions writes a line if versions of the map were dropped since the last one.
func (c *Core) logDroppedVersions() {
	total := c.shardMap.DroppedVersions()
	if total == c.loggedDroppedVersions {
		return
	}
	c.log.SchedulerLine(fmt.Sprintf("shard map: %d versions dropped at the limit, %d since the start",
		total-c.loggedDroppedVersions, total))
	c.loggedDroppedVersions = total
}

// Epoch is that of the shard map in use; 0 before the first. It must not be called where placement is fixed.
func (c *Core) Epoch() uint64 { return c.shardMap.Current().Epoch }
