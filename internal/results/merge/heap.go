package merge

// input is a batch and how far it has been merged.
type input struct {
	batch *Batch
	next  int // index of the first row not yet on the page; less than len(batch.Rows)
}

// inputHeap implements heap.Interface. The input whose next row comes first is at the root.
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
