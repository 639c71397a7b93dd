package core

import (
	"unicode/utf8"

	"ternstage/internal/decision/shardmap"
)

// AnswerKind states how a request ended for its client.
type AnswerKind uint8

// The kinds of final answers.
const (
	Answered AnswerKind = iota // complete, or partial within the limits of its class
	Rejected                   // no non-idempotent part ran: a client retry is harmless
	Failed                     // parts of the request may have run
)

// String returns the kind's name in the log.
func (k AnswerKind) String() string { return [...]string{"answered", "rejected", "failed"}[k] }

// Value is a backend's result for a part or, under resharding, for some of the part's buckets.
type Value struct {
	Shard   int            // as the client named it
	Buckets shardmap.Range // empty where placement is fixed
	Doc     []byte         // the backend's bytes, unchanged; accepted by ValidValue
}

// ValidValue reports whether a backend's result can be a value: it must be UTF-8 and not empty. Values go to clients
// as JSON strings, where other bytes would be changed. A transport reports an attempt with any other result as
// failed.
func ValidValue(value []byte) bool { return len(value) > 0 && utf8.Valid(value) }

// Answer is the one final answer of a request.
type Answer struct {
	Kind       AnswerKind
	Complete   bool    // Answered only: enough of the request's weight arrived for its class
	Values     []Value // Answered only: in the order of the request's parts and of their buckets
	RetryAfter float64 // Rejected only: time in ms after which the client may retry
	TimedOut   bool    // Failed only: a part ran out of time
	Epoch      uint64  // of the shard map in use at the request's start; 0 where placement is fixed or none was used
}

// Counts holds numbers of requests since the start. Submitted minus the other three is the number of open requests.
// Requests for which Submit returned an error are not counted.
type Counts struct {
	Submitted uint64 // accepted by Submit, including those that it rejected at once
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
