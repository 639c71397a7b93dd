package httpfront

import (
	"cmp"
	"slices"

	"ternstage/internal/logs"
)

// answerDeliveryMs is the time in milliseconds after which a last answer is taken to have arrived. A close before may
// destroy it (RFC 9112, 9.6).
const answerDeliveryMs = 100.0

// evictionRank orders the connections that may be evicted: lower ones go first.
type evictionRank int

const (
	evictLingering  evictionRank = iota // its last answer has arrived: nothing is lost
	evictIdle                           // its client opens a new one for its next request
	evictDelivering                     // its last answer may be on its way
)

// FreeDescriptor closes the connection that is missed least, so that its descriptor can be used, and reports whether
// there was one. It calls neither core nor the scheduler, and may be called from within a scheduling round.
//
// A connection with a request under way is never closed, nor an idle one on which something has arrived unread: a close
// would lose the request.
func (s *Server) FreeDescriptor() bool {
	nowMs := s.loop.Now()
	var candidates []*connection
	for c := range s.connections {
		if c.ending.lingering() || c.idle() {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *connection) int {
		byRank := cmp.Compare(a.evictionRank(nowMs), b.evictionRank(nowMs))
		return cmp.Or(byRank, cmp.Compare(a.activeAtMs, b.activeAtMs))
	})
	for _, c := range candidates {
		if c.ending.lingering() || !c.stream.HasUnread() {
			c.close(logs.ClientEvicted, nil)
			return true
		}
	}
	return false
}

// evictionRank ranks a connection that is idle or lingers.
func (c *connection) evictionRank(nowMs float64) evictionRank {
	switch {
	case !c.ending.lingering():
		return evictIdle
	case nowMs-c.activeAtMs < answerDeliveryMs:
		return evictDelivering
	}
	return evictLingering
}
