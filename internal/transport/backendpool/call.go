package backendpool

import (
	"math"
	"slices"
	"strconv"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
)

// call is a group of parts that are sent to a backend in one frame.
type call struct {
	connection    *connection // nil until the call is placed
	parts         []*part
	partsInFlight int
	sentAt        float64 // when the call was created
	// endOffset is the number of bytes queued on the connection up to the end of the call's frame; 0 until the call
	// is encoded. The frame is completely written when the stream has written this number of bytes.
	endOffset uint64
	// idleBeforeMs is how long the connection was idle before the call was placed; 0 if it was in use or new.
	idleBeforeMs float64
}

// part is the pool's state of an attempt. It is the attempt's Handle.
type part struct {
	attempt *core.Attempt
	id      string // on the wire
	call    *call
	ended   bool // the outcome was reported, or the attempt was withdrawn or abandoned
}

// isEncoded reports whether the call's frame has been appended to the connection's output. From then on no part can
// be left out of it.
func (c *call) isEncoded() bool { return c.endOffset > 0 }

// equals reports whether other is the same call. It is a predicate for slices.DeleteFunc.
func (c *call) equals(other *call) bool { return c == other }

// placeCall creates a call from attempts and places it on a connection. If no connection is available, it ends the
// attempts as ConnectFailed.
func (p *Pool) placeCall(backend *backendState, attempts []*core.Attempt) {
	call := &call{sentAt: p.loop.Now()}
	for _, attempt := range attempts {
		part := &part{attempt: attempt, id: partID(attempt), call: call}
		attempt.Handle = part
		call.parts = append(call.parts, part)
	}
	call.partsInFlight = len(call.parts)
	nonIdempotent := slices.ContainsFunc(attempts, func(a *core.Attempt) bool { return a.NonIdempotent })
	connection := p.selectConnection(backend, nonIdempotent)
	if connection == nil {
		for _, part := range call.parts {
			part.ended = true
			p.core.AttemptEndedLater(part.attempt, scheduler.ConnectFailed)
		}
		return
	}
	call.connection = connection
	call.idleBeforeMs = connection.idleMs(p.loop.Now())
	connection.calls = append(connection.calls, call)
	connection.unencoded = append(connection.unencoded, call)
	connection.idleCloseAt = math.Inf(1)
	for _, part := range call.parts {
		connection.partsByID[part.id] = part
	}
}

// partID returns the ID of a part on the wire, which is request.shard. During resharding a request may ask one shard
// for several ranges of buckets, so the ID also has the first bucket: request.shard.bucket.
func partID(attempt *core.Attempt) string {
	id := append([]byte(attempt.Request), '.')
	id = strconv.AppendInt(id, int64(attempt.Shard), 10)
	if attempt.Epoch > 0 {
		id = append(id, '.')
		id = strconv.AppendInt(id, int64(attempt.Buckets.Start), 10)
	}
	return string(id)
}
