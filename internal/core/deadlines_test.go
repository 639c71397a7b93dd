package core

import (
	"container/heap"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestDeadlineHeapKeepsIndices(t *testing.T) {
	var deadlines deadlineHeap
	attempts := make([]*Attempt, 0, 50)
	for i := range 50 {
		attempt := &Attempt{Deadline: float64(i * 37 % 50), heapIndex: -1}
		heap.Push(&deadlines, attempt)
		attempts = append(attempts, attempt)
	}
	for _, attempt := range attempts[:10] {
		heap.Remove(&deadlines, attempt.heapIndex)
		assert.Equal(t, -1, attempt.heapIndex)
	}
	for i, attempt := range deadlines {
		assert.Equal(t, i, attempt.heapIndex)
	}
	last := -1.0
	for len(deadlines) > 0 {
		attempt := heap.Pop(&deadlines).(*Attempt)
		assert.Greater(t, attempt.Deadline, last)
		last = attempt.Deadline
	}
}
