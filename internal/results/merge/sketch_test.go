package merge

import (
	"math"
	"testing"
)

// FuzzRestore: whatever aggregates a backend sends, they are an error or can be combined.
func FuzzRestore(f *testing.F) {
	p, _ := NewPartialAggregate(Column{Name: "risk", Kind: Float})
	for i := range 50 {
		_ = p.Add(FloatOf(float64(i)))
	}
	quantile, distinct, _ := p.Sketches()
	f.Add(uint64(50), 1225.0, 0.0, 49.0, quantile, distinct)
	f.Add(uint64(1), math.NaN(), 2.0, 1.0, []byte{1, 2, 3}, []byte{2, 14, 0, 1, 0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, n uint64, sum, least, most float64, quantile, distinct []byte) {
		p, err := RestorePartialAggregate(Column{Name: "risk", Kind: Float}, n, FloatOf(sum), FloatOf(least), FloatOf(most), quantile, distinct)
		if err != nil {
			return
		}
		q, err := NewPartialAggregate(Column{Name: "risk", Kind: Float})
		if err != nil {
			t.Fatal(err)
		}
		if err := q.Combine(p); err == nil && q.Count != p.Count {
			t.Fatal(q.Count, p.Count)
		}
	})
}
