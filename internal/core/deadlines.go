package core

// deadlineHeap is a heap of attempts ordered by deadline, the earliest first. One timer serves all of them.
// deadlineHeap implements heap.Interface and keeps Attempt.heapIndex up to date.
type deadlineHeap []*Attempt

// Len implements heap.Interface, as do the methods below.
func (d deadlineHeap) Len() int { return len(d) }

// Less orders by deadline.
func (d deadlineHeap) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }

// Swap swaps two attempts and their indices.
func (d deadlineHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].heapIndex, d[j].heapIndex = i, j
}

// Push adds an attempt.
func (d *deadlineHeap) Push(x any) {
	a := x.(*Attempt)
	a.heapIndex = len(*d)
	*d = append(*d, a)
}

// Pop removes and returns the last attempt of the slice.
func (d *deadlineHeap) Pop() any {
	n := len(*d) - 1
	a := (*d)[n]
	(*d)[n], a.heapIndex = nil, -1
	*d = (*d)[:n]
	return a
}
