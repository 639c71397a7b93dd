package merge

// input is a batch that is being merged.
type input struct {
	batch *Batch
	next  int // index of the first row that is not on the page yet; below len(batch.Rows)
}

// inputHeap is a heap of inputs for container/heap; the one with the first row is at the root.
type inputHeap struct {
	order *Order
	list  []input
}

func (h *inputHeap) Len() int { return len(h.list) }

func (h *inputHeap) Less(i, j int) bool {
	a, b := &h.list[i], &h.list[j]
	return h.order.compareRows(&a.batch.Rows[a.next], &b.batch.Rows[b.next]) < 0
}

func (h *inputHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

func (h *inputHeap) Push(x any) { h.list = append(h.list, x.(input)) }

func (h *inputHeap) Pop() any {
	last := len(h.list) - 1
	x := h.list[last]
	h.list = h.list[:last]
	return x
}
