package slicemap

import "testing"

func BenchmarkRoute100000(b *testing.B) {
	m, legs := big(b, 100_000), make([]Segment, 0, 4)
	for i := range b.N {
		id := i * 7919 % 100_000
		if legs = m.Route(legs[:0], id, Range{id * 8, id*8 + 8}); len(legs) != 1 {
			b.Fatal(legs)
		}
	}
}
