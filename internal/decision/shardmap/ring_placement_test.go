package shardmap

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRingPlacement(t *testing.T) {
	placement := NewRingPlacement(5, 3, 2)
	require.Equal(t, 1, placement.Group(4))
	require.Equal(t, []int{2, 0}, placement.Cells(placement.Group(2)))
	require.Equal(t, -1, placement.Group(5), "no such shard")
	require.Equal(t, -1, placement.Group(-1))
	for name, invalid := range map[string]*RingPlacement{
		"no cells":           NewRingPlacement(5, 0, 1),
		"no reach":           NewRingPlacement(5, 3, 0),
		"reach beyond cells": NewRingPlacement(5, 3, 4),
	} {
		require.Equal(t, -1, invalid.Group(0), name)
	}
}
