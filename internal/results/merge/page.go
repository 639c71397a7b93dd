package merge

import (
	"cmp"
	"container/heap"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Page is rows in order.
type Page struct {
	Rows     []Row
	Sources  []shardmap.Range // for each row, the buckets of its batch
	NeedMore []shardmap.Range // batches whose next rows may belong to the page, by buckets; none once it is final
	HasMore  bool             // there are rows after the page
}

// Merge puts batches that passed Validate into one page of at most limit rows. A batch whose shard has more rows is
// listed in NeedMore if the page is not full or all rows of the batch come before the page's last row; no other shard
// can add to the page.
//
// The result depends neither on the order of the batches nor on how buckets are split into shards. Merge allocates the
// page and one heap entry for each batch.
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
