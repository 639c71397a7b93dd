package core

import (
	"unicode/utf8"

	"ternstage/internal/decision/shardmap"
)

// AnswerKind is how a request ended for its client.
type AnswerKind uint8

// The kinds of final answers.
const (
	Answered AnswerKind = iota // complete, or partial as far as its class allows
	Rejected                   // nothing non-idempotent ran: a retry is harmless
	Failed                     // what was asked for may have run or not
)

// String is the kind's name in the log.
func (k AnswerKind) String() string { return [...]string{"answered", "rejected", "failed"}[k] }

// Value is what a backend gave for a part, or for some of its buckets under resharding.
type Value struct {
	Shard   int            // as the client named it
	Buckets shardmap.Range // empty where placement is fixed
	Doc     []byte         // as it came; ValidValue holds
}

// ValidValue reports whether what a backend gave can be a value: UTF-8 and not empty. Values go to clients as JSON
// strings, where other bytes would be changed. A transport fails an attempt that brought anything else.
func ValidValue(value []byte) bool { return len(value) > 0 && utf8.Valid(value) }

// Answer is the one final answer of a request.
type Answer struct {
	Kind       AnswerKind
	Complete   bool    // enough of the request's weight arrived for its class; Answered only
	Values     []Value // Answered only: in the order of the request's parts, and of their buckets
	RetryAfter float64 // Rejected only: ms after which a retry is welcome
	TimedOut   bool    // Failed only: for want of time
	Epoch      uint64  // of the shard map by which the request began; 0 where placement is fixed or it never began
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
