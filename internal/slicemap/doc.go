// Package slicemap is the map from districts to the nodes that hold them, while it changes: versions,
// changes, lineage, and every decision about them. It has no I/O and no clock, and is not safe for concurrent
// use but for a Version, which never changes and may be read by anybody.
//
// A district is the unit that is never divided. A slice is a range of districts with an id that is never used
// again, so an id names the same districts for ever, also once its slice is retired. A version of the map is
// told by its epoch, and epochs only grow. docs/design/moving-shards.md tells why it is built so.
package slicemap
