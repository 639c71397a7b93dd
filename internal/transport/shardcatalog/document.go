package shardcatalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// ErrMalformedDocument is the error of Parse and Cache.Load, possibly wrapped, for a text that is not a valid
// document.
var ErrMalformedDocument = errors.New("malformed document of the shard catalogue")

// Document is an answer of the catalogue, and the content of the cache file: a snapshot if Complete, else changes.
type Document struct {
	Epoch    uint64         `json:"epoch"`               // epoch of the snapshot, or after the last change
	Complete bool           `json:"complete"`            // the document is a snapshot
	Buckets  int            `json:"districts,omitempty"` // number of buckets; only in a snapshot
	Backends []string       `json:"nodes,omitempty"`     // all backends that may hold shards; empty allows any
	Shards   []Shard        `json:"slices,omitempty"`    // only in a snapshot
	Retired  []RetiredShard `json:"retired,omitempty"`   // only in a snapshot; the latest last
	Changes  []Change       `json:"changes,omitempty"`   // in order; not in a snapshot
}

// RetiredShard is a shard that was split or merged. Its buckets are those from Lo up to, but not including, Hi.
type RetiredShard struct {
	ID int `json:"id"`
	Lo int `json:"lo"`
	Hi int `json:"hi"`
}

// Shard is a shard of a snapshot. Its buckets are those from Lo up to, but not including, Hi.
type Shard struct {
	ID       int      `json:"id"`
	Lo       int      `json:"lo"`
	Hi       int      `json:"hi"`
	Replicas []string `json:"holders"`
	State    string   `json:"state,omitempty"` // "serving" if absent
	From     string   `json:"from,omitempty"`
	To       string   `json:"to,omitempty"`
	Since    uint64   `json:"since,omitempty"` // epoch of its last change; the snapshot's epoch if absent
	Parents  []int    `json:"parents,omitempty"`
}

// Change is one change of the map; see shardmap.Change.
type Change struct {
	Base     uint64   `json:"base"`
	Epoch    uint64   `json:"epoch"`
	Kind     string   `json:"kind"`
	Shard    int      `json:"slice"`
	Other    int      `json:"other,omitempty"`
	At       int      `json:"at,omitempty"`
	Into     []int    `json:"into,omitempty"`
	From     string   `json:"from,omitempty"`
	To       string   `json:"to,omitempty"`
	Replicas []string `json:"holders,omitempty"`
}

// stateNames are the names of the states of a shard on the wire.
var stateNames = [...]string{
	shardmap.Serving:     "serving",
	shardmap.Preparing:   "preparing",
	shardmap.HandingOver: "handing-over",
	shardmap.Retired:     "retired",
}

// kindNames are the names of the kinds of change on the wire.
var kindNames = [...]string{
	shardmap.Split:    "split",
	shardmap.Merge:    "merge",
	shardmap.Move:     "move",
	shardmap.Handover: "handover",
	shardmap.Done:     "done",
	shardmap.Abort:    "abort",
	shardmap.Assign:   "assign",
}

// Update is a decoded document: a snapshot of the map or changes to it.
type Update struct {
	Snapshot *shardmap.Snapshot // nil if the update consists of changes
	Changes  []shardmap.Change  // in order; may be empty, as a watch may end without a change
	Backends []string           // all backends that may hold shards; empty allows any
}

// Parse decodes a document. Its error matches ErrMalformedDocument. It does not check whether the snapshot or the
// changes are consistent.
func Parse(text []byte) (Update, error) {
	var document Document
	if err := json.Unmarshal(text, &document); err != nil {
		return Update{}, fmt.Errorf("%w: %w", ErrMalformedDocument, err)
	}
	if document.Epoch == 0 {
		return Update{}, fmt.Errorf("%w: epoch is missing or 0", ErrMalformedDocument)
	}
	update := Update{Backends: document.Backends}
	var err error
	if document.Complete {
		update.Snapshot, err = document.snapshot()
	} else {
		update.Changes, err = document.changes()
	}
	if err != nil {
		return Update{}, fmt.Errorf("%w: %w", ErrMalformedDocument, err)
	}
	return update, nil
}

// changes translates the changes. The epoch of the last one must be the epoch of the document.
func (d *Document) changes() ([]shardmap.Change, error) {
	var changes []shardmap.Change
	for i, change := range d.Changes {
		kind := slices.Index(kindNames[:], change.Kind)
		if kind < 0 {
			return nil, fmt.Errorf("changes[%d]: unknown kind %q", i, change.Kind)
		}
		changes = append(changes, shardmap.Change{
			Base:     change.Base,
			Epoch:    change.Epoch,
			Kind:     shardmap.Kind(kind),
			Shard:    change.Shard,
			Other:    change.Other,
			At:       change.At,
			Into:     change.Into,
			From:     change.From,
			To:       change.To,
			Replicas: change.Replicas,
		})
	}
	if count := len(changes); count > 0 && changes[count-1].Epoch != d.Epoch {
		return nil, fmt.Errorf("last change has epoch %d, the document has epoch %d", changes[count-1].Epoch, d.Epoch)
	}
	return changes, nil
}

func (d *Document) snapshot() (*shardmap.Snapshot, error) {
	snapshot := &shardmap.Snapshot{Epoch: d.Epoch, Buckets: d.Buckets, Backends: d.Backends}
	for i, shard := range d.Shards {
		state, err := parseState(shard.State)
		if err != nil {
			return nil, fmt.Errorf("slices[%d]: %w", i, err)
		}
		snapshot.Shards = append(snapshot.Shards, &shardmap.Shard{
			ID:       shard.ID,
			Range:    shardmap.Range{Start: shard.Lo, End: shard.Hi},
			Replicas: shard.Replicas,
			State:    state,
			From:     shard.From,
			To:       shard.To,
			Since:    shard.Since,
			Parents:  shard.Parents,
		})
	}
	for _, retired := range d.Retired {
		buckets := shardmap.Range{Start: retired.Lo, End: retired.Hi}
		snapshot.Retired = append(snapshot.Retired, shardmap.RetiredShard{ID: retired.ID, Range: buckets})
	}
	return snapshot, nil
}

// parseState translates the name of a state; an absent name means Serving.
func parseState(name string) (shardmap.State, error) {
	if name == "" {
		return shardmap.Serving, nil
	}
	state := slices.Index(stateNames[:], name)
	if state < 0 {
		return 0, fmt.Errorf("unknown state %q", name)
	}
	return shardmap.State(state), nil
}

// FormatSnapshot returns the document for a version. backends are all backends that may hold shards; none allows any.
// retired are the shards that were retired before the version, the latest last.
func FormatSnapshot(version *shardmap.Version, backends []string, retired []shardmap.RetiredShard) Document {
	document := Document{Epoch: version.Epoch, Complete: true, Buckets: version.Buckets, Backends: backends}
	for shard := range version.All {
		document.Shards = append(document.Shards, formatShard(shard))
	}
	for _, shard := range retired {
		document.Retired = append(document.Retired, RetiredShard{ID: shard.ID, Lo: shard.Start, Hi: shard.End})
	}
	return document
}

// FormatChange returns a change in the form that documents have.
func FormatChange(change shardmap.Change) Change {
	return Change{
		Base:     change.Base,
		Epoch:    change.Epoch,
		Kind:     kindNames[change.Kind],
		Shard:    change.Shard,
		Other:    change.Other,
		At:       change.At,
		Into:     change.Into,
		From:     change.From,
		To:       change.To,
		Replicas: change.Replicas,
	}
}

// ShardsInMotion returns up to limit shards with a move in progress, ordered by id, in the form that documents have.
// The result is never nil.
func ShardsInMotion(m *shardmap.Map, limit int) []Shard {
	shards := []Shard{}
	for _, shard := range m.ShardsInMotion() {
		if len(shards) >= limit {
			break
		}
		shards = append(shards, formatShard(shard))
	}
	return shards
}

func formatShard(shard *shardmap.Shard) Shard {
	return Shard{
		ID:       shard.ID,
		Lo:       shard.Start,
		Hi:       shard.End,
		Replicas: shard.Replicas,
		State:    stateNames[shard.State],
		From:     shard.From,
		To:       shard.To,
		Since:    shard.Since,
		Parents:  shard.Parents,
	}
}
