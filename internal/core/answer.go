package core

import (
	"cmp"
	"slices"
	"unicode/utf8"

	"ternstage/internal/slicemap"
)

// AnswerKind is how a request ended for its client.
type AnswerKind uint8

// The kinds of final answers.
const (
	Answered AnswerKind = iota
	Rejected            // nothing ran that must not run twice: asking again is harmless
	Failed              // no promise
)

// String names the kind in logs.
func (k AnswerKind) String() string { return [...]string{"answered", "refused", "failed"}[k] }

// Value is what a node gave for a part, or for some districts of it where slices move.
type Value struct {
	Shard   int // as the client named it
	Buckets slicemap.Range
	Doc     []byte
}

// ValidValue tells whether what a node gave can be a value: text, as it goes to clients in bodies of JSON, where
// anything else could not stand unchanged. Back ends fail an attempt that brought another.
func ValidValue(value []byte) bool { return len(value) > 0 && utf8.Valid(value) }

// Answer is the one final answer of a request.
type Answer struct {
	Kind       AnswerKind
	Complete   bool
	Values     []Value
	RetryAfter float64 // ms, on a refusal
	TimedOut   bool    // a failure for want of time
	Epoch      uint64  // of the map by which the request began; 0 where slices do not move
}

// Counts are numbers of requests since the start. Submitted less the other three are open; requests that Submit
// returned an error for are in none of them.
type Counts struct {
	Submitted uint64 // accepted by Submit, those that it rejected at once included
	Answered  uint64
	Rejected  uint64
	Failed    uint64
}

func (c *Counts) add(kind AnswerKind) {
	switch kind {
	case Answered:
		c.Answered++
	case Rejected:
		c.Rejected++
	case Failed:
		c.Failed++
	}
}

// finish gives the one final answer of a request that is held.
func (c *Core) finish(id uint64, a Answer) {
	r := c.requests[id]
	if r == nil {
		return
	}
	if a.Kind == Answered && c.shardMap == nil {
		for _, p := range r.parts {
			if p.arrived {
				a.Values = append(a.Values, Value{Shard: p.Shard, Doc: p.value})
			}
		}
	}
	if c.shardMap != nil {
		c.collectValues(r, &a)
	}
	a.TimedOut = a.Kind == Failed && slices.ContainsFunc(r.parts, (*partState).outOfTime)
	c.forget(r)
	c.deliver(r, a)
}

func (c *Core) deliver(r *Request, a Answer) {
	c.counts.add(a.Kind)
	c.log.RequestEnded(r, a)
	if !r.disconnected {
		r.Client.Finish(a)
	}
}

// collectValues are those of the units that are in whole: half a part counts for nothing.
func (c *Core) collectValues(r *Request, a *Answer) {
	if r.version != nil {
		a.Epoch = r.version.Epoch
	}
	if a.Kind != Answered {
		return
	}
	parts := slices.Clone(r.parts)
	slices.SortFunc(parts, func(x, y *partState) int {
		return cmp.Or(cmp.Compare(x.clientPart.number, y.clientPart.number), cmp.Compare(x.Start, y.Start))
	})
	for _, p := range parts {
		if p.clientPart.Complete() {
			a.Values = append(a.Values, Value{p.clientPart.Shard, p.Range, p.value})
		}
	}
}
