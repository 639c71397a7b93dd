package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestHandoverPacer(t *testing.T) {
	pacer := HandoverPacer{MaxConcurrent: 2, InitialCapacity: 0.2, WarmupMs: 1000}
	for _, test := range []struct {
		name    string
		now     float64
		target  HandoverTarget
		buckets int
		want    bool
	}{
		{"a warm backend has no limit", 5000, HandoverTarget{Buckets: 900}, 100, true},
		{"too many handovers at once", 5000, HandoverTarget{HandoversInProgress: 2}, 1, false},
		{"above the initial capacity", 5000, HandoverTarget{StartedAtMs: 5000, Buckets: 15}, 10, false},
		{"within the initial capacity", 5000, HandoverTarget{StartedAtMs: 5000, Buckets: 10}, 10, true},
		{"capacity grows", 5500, HandoverTarget{StartedAtMs: 5000, Buckets: 45}, 10, true},
		{"warmed up", 6000, HandoverTarget{StartedAtMs: 5000, Buckets: 500}, 10, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, pacer.MayHandOver(test.now, test.target, test.buckets, 100))
		})
	}
}
