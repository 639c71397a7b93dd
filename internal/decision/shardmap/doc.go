// Package shardmap tracks which replicas hold which buckets while shards are split, merged and moved. It makes every
// decision about the shard map. It is a state machine without I/O or a clock: callers pass all times, in ms.
//
// # Model
//
// A bucket is the unit of data that is never divided. A shard is a range of buckets with an id. Ids are never reused,
// and a new id is above all older ones. An id therefore names the same buckets forever, even after its shard has been
// retired. A Version is the complete map at one epoch. Epochs only increase, and at every epoch each bucket is in
// exactly one shard.
//
// # Usage
//
// Create a Map with New and pass it what the source of the map delivers: a Snapshot to Map.Reset, a batch of changes
// to Map.Apply. Both validate the update, and reject an invalid one as a whole with a *ValidationError.
//
//	m := shardmap.New(shardmap.Options{ReplicaNumber: registry.ReplicaNumber})
//	retired, err := m.Reset(snapshot)
//	retired, err = m.Apply(changes, backends)
//
// Map.Acquire binds a query to the version in use, and Map.Release ends that. Map.Resolve translates the id that a
// client names to buckets. Map.Route translates the buckets to segments, one for each shard that holds some of them.
// A Coverage tracks which segments of a part have been answered. Map.OnNotHolder handles a backend's reply that it
// does not hold a segment. Map.Reroute decides whether a segment may be sent again, and to which shards.
//
// A Map implements the scheduler's placement interface (Group, Cells and Replicas). RingPlacement implements it for
// deployments whose shards never move. A Poller decides when to poll the Source of the map. A HandoverPacer decides
// when a shard may be handed over to a backend.
//
// # Concurrency
//
// A Version and its shards are immutable and may be read by any goroutine. Everything else must be used by one
// goroutine at a time.
//
// docs/design/moving-shards.md describes the alternatives that were considered, and measurements.
package shardmap
