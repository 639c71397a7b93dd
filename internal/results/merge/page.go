package merge

import (
	"cmp"
	"container/heap"
	"slices"

	"ternstage/internal/decision/shardmap"
)

// Page is rows in order.
type Page struct {
	Rows []Row
	From []shardmap.Range // of each row, the districts that its slice was asked for
	// Need are those who must be asked for more before the page is final: what they have next may belong into
	// it.
	Need []shardmap.Range
	More bool // there are rows after the page
}

// Merge puts batches that passed Check into one page of limit rows at most. Where a batch has more to give
// and all that it gave comes before the page's last row, or the page is not full, its next rows may belong
// into the page: it is named under Need, and the rows are those of now. Nobody else can reach the page.
// Memory is that of the page. The result is the same in whatever order the batches stand and however the
// districts are cut.
func (o *Order) Merge(batches []*Batch, limit int) Page {
	h := &heads{o: o}
	p := Page{}
	for _, b := range batches {
		p.More = p.More || b.More
		if len(b.Rows) > 0 {
			h.list = append(h.list, head{b, 0})
		}
	}
	heap.Init(h)
	for len(p.Rows) < limit && h.Len() > 0 {
		top := &h.list[0]
		p.Rows, p.From = append(p.Rows, top.b.Rows[top.at]), append(p.From, top.b.Districts)
		if top.at++; top.at < len(top.b.Rows) {
			heap.Fix(h, 0)
		} else {
			heap.Pop(h)
		}
	}
	p.More = p.More || h.Len() > 0
	for _, b := range batches {
		n := len(b.Rows)
		if limit > 0 && b.More && (n == 0 || len(p.Rows) < limit || o.rows(&b.Rows[n-1], &p.Rows[limit-1]) < 0) {
			p.Need = append(p.Need, b.Districts)
		}
	}
	slices.SortFunc(p.Need, func(a, b shardmap.Range) int { return cmp.Compare(a.Start, b.Start) })
	return p
}
