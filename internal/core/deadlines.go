package core

// deadlines is a heap of attempts by their deadlines. It implements heap.Interface.
type deadlines []*Attempt

// Len implements heap.Interface; so do the methods below.
func (d deadlines) Len() int { return len(d) }

// Less orders by deadline.
func (d deadlines) Less(i, j int) bool { return d[i].Deadline < d[j].Deadline }

// Swap keeps the attempts' places.
func (d deadlines) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].place, d[j].place = i, j
}

// Push adds an attempt.
func (d *deadlines) Push(x any) {
	a := x.(*Attempt)
	a.place = len(*d)
	*d = append(*d, a)
}

// Pop takes the last one off.
func (d *deadlines) Pop() any {
	n := len(*d) - 1
	a := (*d)[n]
	(*d)[n], a.place = nil, -1
	*d = (*d)[:n]
	return a
}
