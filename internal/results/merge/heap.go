package merge

// head is a batch and how far it has been merged.
type head struct {
	b  *Batch
	at int
}

type heads struct {
	o    *Order
	list []head
}

func (h *heads) Len() int { return len(h.list) }

func (h *heads) Less(i, j int) bool {
	return h.o.rows(&h.list[i].b.Rows[h.list[i].at], &h.list[j].b.Rows[h.list[j].at]) < 0
}

func (h *heads) Swap(i, j int) { h.list[i], h.list[j] = h.list[j], h.list[i] }

func (h *heads) Push(x any)    { h.list = append(h.list, x.(head)) }

func (h *heads) Pop() any {
	n := len(h.list) - 1
	x := h.list[n]
	h.list = h.list[:n]
	return x
}
