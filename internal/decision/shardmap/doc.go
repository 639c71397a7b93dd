// Package shardmap is the shard map: which replicas hold which buckets, while shards are split, merged and moved. It
// takes every decision about the map and is a state machine without I/O or a clock; times are ms that callers pass.
//
// # Model
//
// A bucket is the unit of data that is never divided. A shard is a range of buckets with an id. Ids are never reused
// and new ids are above all older ones, so an id names the same buckets for ever, also after its shard has been
// retired. A Version is the complete map at one epoch; epochs only grow, and at every epoch each bucket is in exactly
// one shard.
//
// # Usage
//
// Make a Map with New and feed it what the source of the map delivers: Map.Reset takes a Snapshot, Map.Apply a batch of
// changes. Both validate, and reject an invalid update as a whole with a *ValidationError.
//
//	m := shardmap.New(shardmap.Options{ReplicaNumber: registry.ReplicaNumber})
//	retired, err := m.Reset(snapshot)
//	retired, err = m.Apply(changes, backends)
//
// A query is bound to the version in use with Map.Acquire and frees it with Map.Release. The id that a client names is
// translated to buckets with Map.Resolve, and the buckets to segments, one for each shard that holds some of them, with
// Map.Route. A Coverage tracks which segments of a part have been answered. Map.OnNotHolder decides what follows when a
// backend says that it does not hold a segment, and Map.Reroute whether and where a segment may be sent again.
//
// A Map is a placement of the scheduler (Group, Cells and Replicas); RingPlacement is the one for deployments whose
// shards never move. A Poller decides when a Source is asked for the map, and a HandoverPacer when a shard may be
// handed over to a backend.
//
// # Concurrency
//
// A Version and its shards are immutable and may be read by any goroutine. Everything else must be used by one
// goroutine at a time.
//
// docs/design/moving-shards.md has the alternatives that were considered, and measurements.
package shardmap
