package world

import (
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/decision/shardmap"
)

// applyRandomChange splits, merges or moves a random shard and schedules the next change.
func (f *fleet) applyRandomChange() {
	s := f.world
	if s.now >= s.endMs {
		return
	}
	s.schedule(s.now+s.e.Changes.Interval*(0.5+f.changeRand.Float64()), f.applyRandomChange)
	c := s.e.Changes
	for range 8 {
		v := f.shardMap.Current()
		at := v.ShardAt(f.changeRand.IntN(v.Buckets))
		switch x := f.changeRand.Float64() * (c.Split + c.Merge + c.Move); {
		case x < c.Split:
			if at.Size() >= 2 && f.applyChange(shardmap.Change{Kind: shardmap.Split, Shard: at.ID,
				At: at.Start + 1 + f.changeRand.IntN(at.Size()-1), Into: []shardmap.ShardID{f.nextShard, f.nextShard + 1}}) {
				f.nextShard += 2
				return
			}
		case x < c.Split+c.Merge:
			for range 50 { // adjacent shards with the same replicas are rare
				if o := v.ShardAt(at.End); o != nil && f.applyChange(shardmap.Change{Kind: shardmap.Merge,
					Shard: at.ID, Other: o.ID, Into: []shardmap.ShardID{f.nextShard}}) {
					f.nextShard++
					return
				}
				at = v.ShardAt(f.changeRand.IntN(v.Buckets))
			}
		default:
			if f.startRandomMove(at) {
				return
			}
		}
	}
}

// startRandomMove starts to move a shard to a random backend, unless the pacer allows that backend no handover now.
func (f *fleet) startRandomMove(at *shardmap.Shard) bool {
	s := f.world
	to := f.backends[f.changeRand.IntN(len(f.backends))]
	from := at.Replicas[f.changeRand.IntN(len(at.Replicas))]
	heldBuckets, meanBuckets := 0, f.shardMap.Current().Buckets*s.e.ReplicasPerShard/len(f.backends)
	if to.IsWarmingUp(s.now) {
		f.shardMap.Current().All(func(x *shardmap.Shard) bool {
			if x.Executes(to.ID) {
				heldBuckets += x.Size()
			}
			return true
		})
	}
	if to.state != scheduler.Ready || !f.movePacer.MayHandOver(s.now, shardmap.HandoverTarget{StartedAtMs: to.Started,
		Buckets: heldBuckets, HandoversInProgress: to.incomingMoves}, at.Size(), meanBuckets) {
		return false
	}
	abort := f.changeRand.Float64() < s.e.Changes.AbortShare
	return f.moveShard(at, from, to, s.e.Changes.CopyTime.Draw(f.changeRand), s.e.Changes.HandoverTime.Draw(f.changeRand),
		abort, abort && f.changeRand.IntN(2) == 0)
}

// moveShard moves a shard. After copyMs the handover begins, and after another handoverMs the move is done or,
// with abort, undone; with abortEarly it is undone before the handover. If the destination stops before the
// end, the shard stays with its source.
func (f *fleet) moveShard(at *shardmap.Shard, from string, to *backend, copyMs, handoverMs float64,
	abort, abortEarly bool) bool {
	s := f.world
	if !f.applyChange(shardmap.Change{Kind: shardmap.Move, Shard: at.ID, From: from, To: to.ID}) {
		return false
	}
	to.incomingMoves++
	r, gen := at.Range, to.gen // a restarted process has lost its copy
	s.schedule(s.now+copyMs, func() {
		if abortEarly || to.gen != gen || to.state == scheduler.Removed {
			f.applyToMoving(r, from, to.ID, shardmap.Abort)
			to.incomingMoves--
			return
		}
		f.applyToMoving(r, from, to.ID, shardmap.Handover)
		s.schedule(s.now+handoverMs, func() {
			kind := shardmap.Done
			if abort || to.gen != gen || to.state == scheduler.Removed {
				kind = shardmap.Abort
			}
			f.applyToMoving(r, from, to.ID, kind)
			to.incomingMoves--
		})
	})
	return true
}

// applyToMoving applies a change to every shard of a range that is moving between two backends. There may be
// several, as a moving shard can be split.
func (f *fleet) applyToMoving(r shardmap.Range, from, to string, kind shardmap.Kind) {
	v := f.shardMap.Current()
	for at := r.Start; at < r.End; {
		x := v.ShardAt(at)
		if x.From == from && x.To == to {
			f.applyChange(shardmap.Change{Kind: kind, Shard: x.ID})
		}
		at = x.End
	}
}
