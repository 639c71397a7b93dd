package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestComponentsAreClosedInReverseOrder(t *testing.T) {
	var closed []string
	b := &broker{}
	for _, component := range []string{"admin API", "cached map", "shard catalogue"} {
		b.onClose(func() { closed = append(closed, component) })
	}
	b.close()
	assert.Equal(t, []string{"shard catalogue", "cached map", "admin API"}, closed)
}
