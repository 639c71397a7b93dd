package httpfront

import (
	"cmp"
	"slices"

	"ternstage/internal/logs"
)

// answerDeliveryMs is the time in milliseconds after which the client is assumed to have received the last answer of
// a connection. An earlier close may destroy the answer (RFC 9112, 9.6).
const answerDeliveryMs = 100.0

// evictionRank orders the connections that may be evicted. Lower ranks are evicted first.
type evictionRank int

const (
	evictLingering  evictionRank = iota // the last answer has arrived: nothing is lost
	evictIdle                           // the client has to open a new connection for its next request
	evictDelivering                     // the last answer may still be in transit
)

// FreeDescriptor frees a descriptor by closing the connection with the lowest eviction rank, and reports whether
// there was one to close. It calls neither core nor the scheduler, so it may be called from within a scheduling
// round.
//
// It closes no connection with a request in progress, and no idle one with unread input: the request would be lost.
func (s *Server) FreeDescriptor() bool {
	nowMs := s.loop.Now()
	var candidates []*connection
	for c := range s.connections {
		if c.ending.isLingering() || c.isIdle() {
			candidates = append(candidates, c)
		}
	}
	slices.SortFunc(candidates, func(a, b *connection) int {
		byRank := cmp.Compare(a.evictionRank(nowMs), b.evictionRank(nowMs))
		return cmp.Or(byRank, cmp.Compare(a.activeAtMs, b.activeAtMs))
	})
	for _, c := range candidates {
		if c.ending.isLingering() || !c.stream.HasUnread() {
			c.close(logs.ClientEvicted, nil)
			return true
		}
	}
	return false
}

// evictionRank returns the rank of a connection that is idle or lingers.
func (c *connection) evictionRank(nowMs float64) evictionRank {
	switch {
	case !c.ending.isLingering():
		return evictIdle
	case nowMs-c.activeAtMs < answerDeliveryMs:
		return evictDelivering
	}
	return evictLingering
}
