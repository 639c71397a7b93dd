package merge

// input is a batch and how far it has been merged.
type input struct {
	batch *Batch
	next  int
}

type inputHeap struct {
	order *Order
	list  []input
}

func (h *inputHeap) Len() int { return len(h.list) }

func (h *inputHeap) Less(i, j int) bool {
	return h.order.compareRows(&h.list[i].batch.Rows[h.list[i].next], &h.list[j].batch.Rows[h.list[j].next]) < 0
}

func (h *inputHeap) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

func (h *inputHeap) Push(x any) { h.list = append(h.list, x.(input)) }

func (h *inputHeap) Pop() any {
	n := len(h.list) - 1
	x := h.list[n]
	h.list = h.list[:n]
	return x
}
