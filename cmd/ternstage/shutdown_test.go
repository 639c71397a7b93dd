package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestIsAcceptOver(t *testing.T) {
	for _, c := range []struct {
		name         string
		elapsedMs    float64
		open         int
		hasSuccessor bool
		want         bool
	}{
		{"clients may not know yet", 649, 0, false, false},
		{"no client is connected", 650, 0, false, true},
		{"clients are connected", 650, 1, false, false},
		{"shortly before the longest deadline", 999, 1, false, false},
		{"later requests might not be answered", 1000, 1, false, true},
		{"the successor accepts", 0, 1, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &gracefulShutdown{longestDeadlineMs: 1000, acceptMs: minAcceptMs, hasSuccessor: c.hasSuccessor}
			if c.hasSuccessor {
				s.acceptMs = 0
			}
			assert.Equal(t, c.want, s.isAcceptOver(c.elapsedMs, c.open))
		})
	}
}

func TestAcceptLastsLongerThanAShortDeadline(t *testing.T) {
	s := &gracefulShutdown{longestDeadlineMs: 100, acceptMs: minAcceptMs}
	assert.False(t, s.isAcceptOver(649, 1))
	assert.True(t, s.isAcceptOver(650, 1))
}
