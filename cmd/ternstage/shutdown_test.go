package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestAcceptEnded(t *testing.T) {
	for _, c := range []struct {
		name      string
		elapsedMs float64
		open      int
		handsOver bool
		want      bool
	}{
		{"clients may not know yet", 649, 0, false, false},
		{"no client is left", 650, 0, false, true},
		{"clients are left", 650, 1, false, false},
		{"shortly before the longest deadline", 999, 1, false, false},
		{"later requests might not be answered", 1000, 1, false, true},
		{"the successor accepts", 0, 1, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &gracefulShutdown{killDelayMs: 1000, acceptMs: acceptMs, handsOver: c.handsOver}
			if c.handsOver {
				s.acceptMs = 0
			}
			assert.Equal(t, c.want, s.acceptEnded(c.elapsedMs, c.open))
		})
	}
}

func TestAcceptOutlastsAShortLongestDeadline(t *testing.T) {
	s := &gracefulShutdown{killDelayMs: 100, acceptMs: acceptMs}
	assert.False(t, s.acceptEnded(649, 1))
	assert.True(t, s.acceptEnded(650, 1))
}
