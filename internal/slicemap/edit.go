package slicemap

import "slices"

// edit is a version that is being made of another.
type edit struct {
	*Version
	known   func(string) bool
	used    func(ShardID) bool // ids that had a slice once
	retired []*Shard
	changed []*Shard
}

func (e *edit) set(s *Shard) {
	s.Since = e.Epoch
	e.byID, e.byLast = e.byID.Set(s.ID, s), e.byLast.Set(s.End-1, s)
	e.changed = append(e.changed, s)
}

func (e *edit) retire(s *Shard) {
	e.byID, e.byLast = e.byID.Delete(s.ID), e.byLast.Delete(s.End-1)
	old := *s
	old.State, old.Since = Retired, e.Epoch
	e.retired = append(e.retired, &old)
	e.changed = slices.DeleteFunc(e.changed, func(x *Shard) bool { return x.ID == s.ID })
}

func (e *edit) slice(id ShardID) (*Shard, error) {
	s := e.Version.Shard(id)
	if s == nil {
		return nil, fault(id, ErrShard, "it is not in the map")
	}
	return s, nil
}

// fresh tells that the ids may become slices.
func (e *edit) fresh(ids []ShardID, want int) error {
	if len(ids) != want {
		return fault(-1, ErrShard, "%d new ids, not %d", len(ids), want)
	}
	for i, id := range ids {
		if id < 0 || slices.Contains(ids[:i], id) || e.Version.Shard(id) != nil || e.used(id) {
			return fault(id, ErrShard, "the id has been used")
		}
	}
	return nil
}

// apply makes one change.
func (e *edit) apply(c Change) error {
	if c.Base != e.Epoch {
		return fault(-1, ErrBase, "onto %d, at %d", c.Base, e.Epoch)
	}
	if c.Epoch <= c.Base {
		return fault(-1, ErrEpoch, "from %d to %d", c.Base, c.Epoch)
	}
	s, err := e.slice(c.Shard)
	if err != nil {
		return err
	}
	next := *s
	switch c.Kind {
	case Split:
		return e.split(c, s)
	case Merge:
		return e.merge(c, s)
	case Move:
		if s.State != Serving {
			return fault(s.ID, ErrState, "a move while it is %v", s.State)
		}
		next.State, next.From, next.To = Preparing, c.From, c.To
	case Handover:
		if s.State != Preparing {
			return fault(s.ID, ErrState, "a handover while it is %v", s.State)
		}
		next.State = HandingOver
	case Done:
		if s.State != HandingOver {
			return fault(s.ID, ErrState, "done while it is %v", s.State)
		}
		next.Replicas, next.State, next.From, next.To = s.Executors(), Serving, "", ""
	case Abort:
		if s.State != Preparing && s.State != HandingOver {
			return fault(s.ID, ErrState, "an abort while it is %v", s.State)
		}
		next.State, next.From, next.To = Serving, "", ""
	case Assign:
		if s.State != Serving {
			return fault(s.ID, ErrState, "an assignment while it is %v", s.State)
		}
		next.Replicas = slices.Clone(c.Replicas)
	default:
		return fault(s.ID, ErrState, "kind %d is unknown", c.Kind)
	}
	if err := next.check(e.Buckets, e.known); err != nil {
		return err
	}
	e.Epoch = c.Epoch
	e.set(&next)
	return nil
}

// split divides a slice. Where it is being moved, the move goes on for both halves: what is copied is
// districts.
func (e *edit) split(c Change, s *Shard) error {
	if c.At <= s.Start || c.At >= s.End {
		return fault(s.ID, ErrRange, "a split of %v at %d", s.Range, c.At)
	}
	if err := e.fresh(c.Into, 2); err != nil {
		return err
	}
	e.Epoch = c.Epoch
	e.retire(s)
	for i, r := range []Range{{s.Start, c.At}, {c.At, s.End}} {
		half := *s
		half.ID, half.Range, half.Parents = c.Into[i], r, []ShardID{s.ID}
		e.set(&half)
	}
	return nil
}

// merge joins two neighbours. Both must serve from the same holders: guards districts against being said to
// be where they have not been copied to.
func (e *edit) merge(c Change, s *Shard) error {
	o, err := e.slice(c.Other)
	if err != nil {
		return err
	}
	if s.Start > o.Start {
		s, o = o, s
	}
	if s.End != o.Start {
		return fault(s.ID, ErrRange, "%v and %v are no neighbours", s.Range, o.Range)
	}
	if s.State != Serving || o.State != Serving {
		return fault(s.ID, ErrState, "a merge of %v and %v slices", s.State, o.State)
	}
	a, b := slices.Sorted(slices.Values(s.Replicas)), slices.Sorted(slices.Values(o.Replicas))
	if !slices.Equal(a, b) {
		return fault(s.ID, ErrReplica, "a merge of slices held by %v and %v", a, b)
	}
	if err := e.fresh(c.Into, 1); err != nil {
		return err
	}
	e.Epoch = c.Epoch
	e.retire(s)
	e.retire(o)
	e.set(&Shard{ID: c.Into[0], Range: Range{s.Start, o.End}, Replicas: s.Replicas, Parents: []ShardID{s.ID, o.ID}})
	return nil
}
