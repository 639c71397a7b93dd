package backendpool

import (
	"math"
	"slices"
	"strconv"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
)

// call is one frame of parts to a backend.
type call struct {
	connection    *connection // nil until it is placed
	parts         []*part
	partsInFlight int
	sentAt        float64
	// endOffset is the position of the frame's last byte among all bytes written on the connection; 0 until the call is
	// encoded. It reports whether the frame is completely written.
	endOffset uint64
	// idleBeforeMs is how long the connection had been idle when the call was placed; 0 if it was in use or new.
	idleBeforeMs float64
}

// part is an attempt as the pool keeps it. It is the attempt's Handle.
type part struct {
	attempt *core.Attempt
	id      string // on the wire
	call    *call
	ended   bool // its outcome is reported, or no longer wanted
}

// isEncoded reports whether the call's frame is in the connection's output: from then on nothing can be left out of it.
func (c *call) isEncoded() bool { return c.endOffset > 0 }

// equals reports whether other is the same call.
func (c *call) equals(other *call) bool { return c == other }

// placeCall makes a call of these attempts and places it on a connection. Without a connection they end as
// ConnectFailed.
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

// partID returns the name of a part on the wire: request.shard. While shards move, a request may ask one shard for
// several ranges of buckets, so the first bucket is appended: request.shard.bucket.
func partID(attempt *core.Attempt) string {
	id := append([]byte(attempt.Request), '.')
	id = strconv.AppendInt(id, int64(attempt.Shard), 10)
	if attempt.Epoch > 0 {
		id = append(id, '.')
		id = strconv.AppendInt(id, int64(attempt.Buckets.Start), 10)
	}
	return string(id)
}
