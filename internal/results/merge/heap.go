package merge

// input is a batch that is being merged.
type input struct {
	batch *Batch
	next  int // index of the first row that is not on the page yet; below len(batch.Rows)
}

// inputHeap is a heap of inputs for container/heap; the one with the first row is at the root.
type inputHeap struct {
	order   *Order
	entries []input
}

func (h *inputHeap) Len() int { return len(h.entries) }

func (h *inputHeap) Less(i, j int) bool {
	a, b := &h.entries[i], &h.entries[j]
	return h.order.compareRows(&a.batch.Rows[a.next], &b.batch.Rows[b.next]) < 0
}

func (h *inputHeap) Swap(i, j int) { h.entries[i], h.entries[j] = h.entries[j], h.entries[i] }

func (h *inputHeap) Push(x any) { h.entries = append(h.entries, x.(input)) }

func (h *inputHeap) Pop() any {
	last := len(h.entries) - 1
	x := h.entries[last]
	h.entries = h.entries[:last]
	return x
}
