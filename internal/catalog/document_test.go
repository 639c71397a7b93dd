package catalog

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"ternstage/internal/slicemap"
)

func large(n int) Document {
	d := Document{Epoch: 5, Complete: true, Buckets: 8 * n}
	for i := range n {
		d.Shards = append(d.Shards, Shard{ID: i, Lo: 8 * i, Hi: 8*i + 8, Replicas: []string{"a", "b", "c"}})
	}
	return d
}

// BenchmarkParse100000 is why large answers are not read on the loop; BenchmarkReset100000 is what is left there.
func BenchmarkParse100000(b *testing.B) {
	text, err := json.Marshal(large(100_000))
	require.NoError(b, err)
	for range b.N {
		if _, _, _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkReset100000(b *testing.B) {
	text, err := json.Marshal(large(100_000))
	require.NoError(b, err)
	for range b.N {
		b.StopTimer()
		w, _, _, err := Parse(text)
		require.NoError(b, err)
		m := slicemap.New(slicemap.Options{})
		b.StartTimer()
		if _, err := m.Reset(*w); err != nil {
			b.Fatal(err)
		}
	}
}
