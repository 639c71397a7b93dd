package shardcatalog_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/transport/shardcatalog"
)

// The file of testdata/golden was written by the cache of commit aa8ad37, and programs start by such files: it is
// never written anew. Those of testdata/golden/refused are copies of it, spoilt by hand.

// load reads a kept map as a program does at its start.
func load(t *testing.T, name string) (*shardmap.Snapshot, error) {
	t.Helper()
	c := shardcatalog.NewCache(filepath.Join("testdata", "golden", name), func(err error) { t.Error(err) })
	defer c.Close()
	return c.Load()
}

// TestGoldenMap: the map that an earlier build kept is read whole, put into use, and kept the same.
func TestGoldenMap(t *testing.T) {
	w, err := load(t, "map.json")
	require.NoError(t, err)
	between := func(lo, hi int) shardmap.Range { return shardmap.Range{Start: lo, End: hi} }
	require.Equal(t, &shardmap.Snapshot{Epoch: 1047, Buckets: 64,
		Shards: []*shardmap.Shard{
			{ID: 5, Range: between(0, 6), Replicas: []string{"s-0", "s-1", "s-2"}, State: shardmap.Serving, Since: 1042,
				Parents: []int{0}},
			{ID: 6, Range: between(6, 16), Replicas: []string{"s-0", "s-1", "s-2"}, State: shardmap.HandingOver,
				From: "s-1", To: "s-3", Since: 1046, Parents: []int{0}},
			{ID: 1, Range: between(16, 32), Replicas: []string{"s-1", "s-2", "s-3"}, State: shardmap.Preparing,
				From: "s-2", To: "s-0", Since: 1044},
			{ID: 7, Range: between(32, 48), Replicas: []string{"s-2", "s-3"}, State: shardmap.Serving, Since: 1043,
				Parents: []int{2, 3}},
			{ID: 4, Range: between(48, 64), Replicas: []string{"s-0", "s-11"}, State: shardmap.Serving, Since: 1047},
		},
		Retired: []shardmap.RetiredShard{{ID: 0, Range: between(0, 16)}, {ID: 2, Range: between(32, 40)},
			{ID: 3, Range: between(40, 48)}}}, w)

	m := shardmap.New(shardmap.Options{})
	gone, err := m.Reset(*w)
	require.NoError(t, err)
	assert.Empty(t, gone)
	assert.EqualValues(t, 1047, m.Current().Epoch)
	for id, want := range map[int]shardmap.Range{0: between(0, 16), 2: between(32, 40), 3: between(40, 48),
		1: between(16, 32), 4: between(48, 64), 5: between(0, 6), 6: between(6, 16), 7: between(32, 48)} {
		got, err := m.Resolve(id)
		require.NoError(t, err, "slice %d", id)
		assert.Equal(t, want, got, "slice %d", id)
	}
	for id, want := range map[int][]string{1: {"s-1", "s-2", "s-3"}, 4: {"s-0", "s-11"}, 5: {"s-0", "s-1", "s-2"},
		6: {"s-0", "s-3", "s-2"}, 7: {"s-2", "s-3"}} {
		assert.Equal(t, want, m.Shard(id).Executors(), "slice %d", id)
	}
	require.Len(t, m.ShardsInMotion(), 2)

	// Kept again, it is the same to the byte.
	path := filepath.Join(t.TempDir(), "map.json")
	c := shardcatalog.NewCache(path, func(err error) { t.Error(err) })
	c.Save(m.Current(), m.Retired(1<<12))
	c.Close()
	got, err := os.ReadFile(path)
	require.NoError(t, err)
	want, err := os.ReadFile(filepath.Join("testdata", "golden", "map.json"))
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got))

	// The change that comes next is understood.
	_, err = m.Apply([]shardmap.Change{{Base: 1047, Epoch: 1048, Kind: shardmap.Done, Shard: 6}}, nil)
	require.NoError(t, err)
	assert.Equal(t, []string{"s-0", "s-3", "s-2"}, m.Shard(6).Replicas)
}

// TestGoldenMapRefused: a kept map that is torn, empty or has not the form of one is refused as it is read, and
// one that is no sound map as it is put into use. The file stays as it is.
func TestGoldenMapRefused(t *testing.T) {
	for name, says := range map[string]string{
		"torn.json":          "unexpected end",
		"empty.json":         "unexpected end",
		"no-epoch.json":      "epoch",
		"epoch-as-text.json": "epoch",
		"not-complete.json":  "",
		"unknown-state.json": `"copying"`,
	} {
		file := filepath.Join("testdata", "golden", "refused", name)
		before, err := os.ReadFile(file)
		require.NoError(t, err)
		w, err := load(t, "refused/"+name)
		require.ErrorIs(t, err, shardcatalog.ErrMalformedDocument, name)
		assert.ErrorContains(t, err, says, name)
		assert.ErrorContains(t, err, file, "it names the file")
		assert.Nil(t, w, name)
		after, err := os.ReadFile(file)
		require.NoError(t, err)
		assert.Equal(t, before, after, name)
	}
	for name, want := range map[string]error{
		"map-hole.json":              shardmap.ErrGap,
		"map-overlap.json":           shardmap.ErrOverlap,
		"map-moved-to-a-holder.json": shardmap.ErrReplica,
		"map-retired-in-use.json":    shardmap.ErrRange,
	} {
		w, err := load(t, "refused/"+name)
		require.NoError(t, err, name)
		m := shardmap.New(shardmap.Options{})
		_, err = m.Reset(*w)
		require.ErrorIs(t, err, want, name)
		assert.Zero(t, m.Current().Epoch, "%s: nothing of it is in use", name)
	}
}
