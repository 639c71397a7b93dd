package backends

import (
	"math"
	"slices"
	"strconv"
	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
)

type backend struct {
	replica     uint32
	address     string
	connections []*connection
	unplaced    []*core.Attempt // sent in this turn, not yet in calls
}

// call is one Q frame.
type call struct {
	connection    *connection
	parts         []*part
	partsInFlight int // parts out
	sentAt        float64
	endOffset     uint64  // the frame's last byte, counted on its connection; 0 until it is encoded
	idleBefore    float64 // ms that its connection had been idle
}

// part is a part that is out; it is the attempt's handle.
type part struct {
	attempt *core.Attempt
	id      string
	call    *call
	ended   bool
}

// placeCall gives a call to a connection.
func (p *Pool) placeCall(l *backend, parts []*core.Attempt) {
	k := &call{sentAt: p.loop.Now()}
	for _, a := range parts {
		o := &part{attempt: a, id: partID(a), call: k}
		a.Handle = o
		k.parts = append(k.parts, o)
	}
	k.partsInFlight = len(k.parts)
	best := p.selectConnection(l, slices.ContainsFunc(parts, func(a *core.Attempt) bool { return a.NonIdempotent }))
	if best == nil {
		for _, o := range k.parts {
			o.ended = true
			p.core.AttemptEndedLater(o.attempt, scheduler.ConnectFailed)
		}
		return
	}
	if k.connection = best; best.established && len(best.calls) == 0 {
		k.idleBefore = p.loop.Now() - best.lastReceivedAt
	}
	best.calls, best.unencoded = append(best.calls, k), append(best.unencoded, k)
	best.idleCloseAt = math.Inf(1)
	for _, o := range k.parts {
		best.partsByID[o.id] = o
	}
}

// partID is the part's name on the wire. Where slices move, one may be asked for several ranges of districts
// by one query, so the first district is part of the name.
func partID(a *core.Attempt) string {
	out := appendInt(append([]byte(a.Request), '.'), a.Shard)
	if a.Epoch > 0 {
		out = appendInt(append(out, '.'), a.Buckets.Start)
	}
	return string(out)
}

func appendInt(out []byte, n int) []byte { return strconv.AppendInt(out, int64(n), 10) }
