package merge

import (
	"cmp"
	"container/heap"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Page holds the merged rows of a page, in order.
type Page struct {
	Rows     []Row
	Sources  []shardmap.Range // buckets of the batch of each row
	NeedMore []shardmap.Range // buckets of batches whose next rows may belong to the page; empty for a final page
	HasMore  bool             // whether there are rows after the page
}

// Merge merges batches that passed Validate into one page of at most limit rows. NeedMore lists each batch whose
// shard has more rows, if the page is not full or all rows of the batch come before the last row of the page. Other
// shards cannot add to the page.
//
// The result depends neither on the order of the batches nor on how buckets are split into shards. Merge allocates
// only the page and one heap entry for each batch.
func (o *Order) Merge(batches []*Batch, limit int) Page {
	inputs := &inputHeap{order: o}
	page := Page{}
	for _, batch := range batches {
		page.HasMore = page.HasMore || batch.HasMore
		if len(batch.Rows) > 0 {
			inputs.entries = append(inputs.entries, input{batch: batch})
		}
	}
	heap.Init(inputs)
	for len(page.Rows) < limit && inputs.Len() > 0 {
		first := &inputs.entries[0]
		page.Rows = append(page.Rows, first.batch.Rows[first.next])
		page.Sources = append(page.Sources, first.batch.Buckets)
		first.next++
		if first.next < len(first.batch.Rows) {
			heap.Fix(inputs, 0)
		} else {
			heap.Pop(inputs)
		}
	}
	page.HasMore = page.HasMore || inputs.Len() > 0
	for _, batch := range batches {
		if batch.HasMore && o.canExtendPage(batch, page.Rows, limit) {
			page.NeedMore = append(page.NeedMore, batch.Buckets)
		}
	}
	slices.SortFunc(page.NeedMore, func(a, b shardmap.Range) int { return cmp.Compare(a.Start, b.Start) })
	return page
}

// canExtendPage reports whether rows that follow those of a batch may belong to a page of limit rows.
func (o *Order) canExtendPage(batch *Batch, page []Row, limit int) bool {
	if limit <= 0 {
		return false
	}
	count := len(batch.Rows)
	if count == 0 || len(page) < limit {
		return true
	}
	return o.compareRows(&batch.Rows[count-1], &page[limit-1]) < 0
}
