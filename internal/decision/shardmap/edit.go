package shardmap

import "slices"

// edit builds the next version: it applies changes to a copy of the version in use. An edit must not be used after an
// error.
type edit struct {
	version   *Version
	allowed   backendSet
	highestID ShardID  // the highest id ever used
	changed   []*Shard // added or replaced and not retired since; may repeat an id
	retired   []*Shard
}

func newEdit(base *Version, highestID ShardID, allowed backendSet) *edit {
	version := *base
	version.activeQueries = 0
	return &edit{version: &version, allowed: allowed, highestID: highestID}
}

// apply applies one change. Its error is a *ValidationError.
func (e *edit) apply(change Change) error {
	if change.Base != e.version.Epoch {
		return invalid(noShard, ErrBase, "base epoch %d, current epoch %d", change.Base, e.version.Epoch)
	}
	if change.Epoch <= change.Base {
		return invalid(noShard, ErrEpoch, "from %d to %d", change.Base, change.Epoch)
	}
	shard, err := e.shard(change.Shard)
	if err != nil {
		return err
	}
	switch change.Kind {
	case Split:
		err = e.split(change, shard)
	case Merge:
		err = e.merge(change, shard)
	default:
		err = e.transition(change, shard)
	}
	if err != nil {
		return err
	}
	for _, id := range change.Into {
		e.highestID = max(e.highestID, id)
	}
	return nil
}

// transition applies a change to the state or the replicas of one shard.
func (e *edit) transition(change Change, shard *Shard) error {
	if !canApply(change.Kind, shard.State) {
		return invalid(shard.ID, ErrState, "%v while %v", change.Kind, shard.State)
	}
	next := *shard
	switch change.Kind {
	case Move:
		next.State, next.From, next.To = Preparing, change.From, change.To
	case Handover:
		next.State = HandingOver
	case Done:
		next.Replicas = shard.Executors()
		next.State, next.From, next.To = Serving, "", ""
	case Abort:
		next.State, next.From, next.To = Serving, "", ""
	case Assign:
		next.Replicas = slices.Clone(change.Replicas)
	}
	if err := next.validate(e.version.Buckets, e.allowed); err != nil {
		return err
	}
	e.version.Epoch = change.Epoch
	e.put(&next)
	return nil
}

// canApply reports whether a kind of change is possible in a state. It is false for Split and Merge, which split and
// merge check themselves.
func canApply(kind Kind, state State) bool {
	switch kind {
	case Move, Assign:
		return state == Serving
	case Handover:
		return state == Preparing
	case Done:
		return state == HandingOver
	case Abort:
		return state == Preparing || state == HandingOver
	default:
		return false
	}
}

// split divides a shard in two. A move in progress continues for both halves, as data is copied by bucket.
func (e *edit) split(change Change, shard *Shard) error {
	if change.At <= shard.Start || change.At >= shard.End {
		return invalid(shard.ID, ErrRange, "split of %v at %d", shard.Range, change.At)
	}
	if err := e.validateNewIDs(change.Into, 2); err != nil {
		return err
	}
	e.version.Epoch = change.Epoch
	e.retire(shard)
	for i, buckets := range []Range{{shard.Start, change.At}, {change.At, shard.End}} {
		half := *shard
		half.ID = change.Into[i]
		half.Range = buckets
		half.Parents = []ShardID{shard.ID}
		e.put(&half)
	}
	return nil
}

// merge joins two adjacent shards. Both must be Serving and have the same replicas: otherwise the merged shard would
// name replicas to which some of its buckets were never copied.
func (e *edit) merge(change Change, shard *Shard) error {
	other, err := e.shard(change.Other)
	if err != nil {
		return err
	}
	left, right := shard, other
	if left.Start > right.Start {
		left, right = right, left
	}
	if left.End != right.Start {
		return invalid(left.ID, ErrRange, "%v and %v are not adjacent", left.Range, right.Range)
	}
	if left.State != Serving || right.State != Serving {
		return invalid(left.ID, ErrState, "merge of %v and %v shards", left.State, right.State)
	}
	leftReplicas := slices.Sorted(slices.Values(left.Replicas))
	rightReplicas := slices.Sorted(slices.Values(right.Replicas))
	if !slices.Equal(leftReplicas, rightReplicas) {
		return invalid(left.ID, ErrReplica, "merge of shards on %v and %v", leftReplicas, rightReplicas)
	}
	if err := e.validateNewIDs(change.Into, 1); err != nil {
		return err
	}
	e.version.Epoch = change.Epoch
	e.retire(left)
	e.retire(right)
	e.put(&Shard{
		ID:       change.Into[0],
		Range:    Range{left.Start, right.End},
		Replicas: left.Replicas,
		Parents:  []ShardID{left.ID, right.ID},
	})
	return nil
}

func (e *edit) shard(id ShardID) (*Shard, error) {
	shard := e.version.Shard(id)
	if shard == nil {
		return nil, invalid(id, ErrShard, "not in the map")
	}
	return shard, nil
}

// validateNewIDs checks that ids has count ids and that none of them was ever used.
func (e *edit) validateNewIDs(ids []ShardID, count int) error {
	if len(ids) != count {
		return invalid(noShard, ErrShard, "%d new ids instead of %d", len(ids), count)
	}
	for i, id := range ids {
		repeated := slices.Contains(ids[:i], id)
		used := id <= e.highestID || e.version.Shard(id) != nil
		if id < 0 || repeated || used {
			return invalid(id, ErrShard, "the id has been used")
		}
	}
	return nil
}

// put adds or replaces a shard and sets its Since to the epoch of the edit.
func (e *edit) put(shard *Shard) {
	shard.Since = e.version.Epoch
	e.version.byID = e.version.byID.Set(shard.ID, shard)
	e.version.byLastBucket = e.version.byLastBucket.Set(shard.End-1, shard)
	e.changed = append(e.changed, shard)
}

// retire removes a shard from the version.
func (e *edit) retire(shard *Shard) {
	e.version.byID = e.version.byID.Delete(shard.ID)
	e.version.byLastBucket = e.version.byLastBucket.Delete(shard.End - 1)
	retired := *shard
	retired.State = Retired
	retired.Since = e.version.Epoch
	e.retired = append(e.retired, &retired)
	e.changed = slices.DeleteFunc(e.changed, func(changed *Shard) bool { return changed.ID == shard.ID })
}
