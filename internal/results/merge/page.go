package merge

import (
	"cmp"
	"container/heap"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Page is rows in order.
type Page struct {
	Rows    []Row
	Sources []shardmap.Range // of each row, the districts that its slice was asked for
	// NeedMore are those who must be asked for more before the page is final: what they have next may belong into
	// it.
	NeedMore []shardmap.Range
	HasMore  bool // there are rows after the page
}

// Merge puts batches that passed Check into one page of limit rows at most. Where a batch has more to give
// and all that it gave comes before the page's last row, or the page is not full, its next rows may belong
// into the page: it is named under Need, and the rows are those of now. Nobody else can reach the page.
// Memory is that of the page. The result is the same in whatever order the batches stand and however the
// districts are cut.
func (o *Order) Merge(batches []*Batch, limit int) Page {
	h := &inputHeap{order: o}
	p := Page{}
	for _, b := range batches {
		p.HasMore = p.HasMore || b.HasMore
		if len(b.Rows) > 0 {
			h.list = append(h.list, input{b, 0})
		}
	}
	heap.Init(h)
	for len(p.Rows) < limit && h.Len() > 0 {
		top := &h.list[0]
		p.Rows, p.Sources = append(p.Rows, top.batch.Rows[top.next]), append(p.Sources, top.batch.Buckets)
		if top.next++; top.next < len(top.batch.Rows) {
			heap.Fix(h, 0)
		} else {
			heap.Pop(h)
		}
	}
	p.HasMore = p.HasMore || h.Len() > 0
	for _, b := range batches {
		n := len(b.Rows)
		if limit > 0 && b.HasMore && (n == 0 || len(p.Rows) < limit || o.compareRows(&b.Rows[n-1], &p.Rows[limit-1]) < 0) {
			p.NeedMore = append(p.NeedMore, b.Buckets)
		}
	}
	slices.SortFunc(p.NeedMore, func(a, b shardmap.Range) int { return cmp.Compare(a.Start, b.Start) })
	return p
}
