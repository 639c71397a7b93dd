package merge

import (
	"math"
	"testing"
)

// FuzzRestore checks that aggregates of any content are rejected or can be combined.
func FuzzRestore(f *testing.F) {
	column := Column{Name: "risk", Kind: Float}
	sent, _ := NewPartialAggregate(column)
	for i := range 50 {
		_ = sent.Add(FloatOf(float64(i)))
	}
	quantiles, distinct, _ := sent.EncodeSketches()
	f.Add(uint64(50), 1225.0, 0.0, 49.0, quantiles, distinct)
	f.Add(uint64(1), math.NaN(), 2.0, 1.0, []byte{1, 2, 3}, []byte{2, 14, 0, 1, 0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, count uint64, sum, minimum, maximum float64, quantiles, distinct []byte) {
		restored, err := RestorePartialAggregate(column, count, FloatOf(sum), FloatOf(minimum), FloatOf(maximum), quantiles,
			distinct)
		if err != nil {
			return
		}
		combined, err := NewPartialAggregate(column)
		if err != nil {
			t.Fatal(err)
		}
		if err := combined.Combine(restored); err == nil && combined.Count != restored.Count {
			t.Fatalf("count %d after combining %d", combined.Count, restored.Count)
		}
	})
}
