package clients

import (
	"cmp"
	"slices"

	"ternstage/internal/logs"
)

const (
	answerDeliveryMs = 100.0 // ms in which a last answer has come to its client
)

// FreeDescriptor closes the connection that can best be spared, for a descriptor: one that we ended a while ago,
// then the one that has stood idle longest and on which nothing has come, then one whose last answer is still
// on its way. A client opens a new one when it needs one. It hands nothing in, so that it may be called from
// within a decision. False if there is none.
func (s *Server) FreeDescriptor() bool {
	var spare []*connection
	for c := range s.connections {
		if c.ending.lingering() || c.idle() {
			spare = append(spare, c)
		}
	}
	rank := func(c *connection) int {
		switch {
		case !c.ending.lingering():
			return 1
		case s.loop.Now()-c.activeAtMs < answerDeliveryMs:
			return 2
		}
		return 0
	}
	slices.SortFunc(spare, func(a, b *connection) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.activeAtMs, b.activeAtMs))
	})
	for _, c := range spare {
		if c.ending.lingering() || !c.stream.HasUnread() {
			c.close(logs.ClientEvicted, nil)
			return true
		}
	}
	return false
}
