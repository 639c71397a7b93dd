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

// testdata/golden/map.json was written by the cache of commit aa8ad37. Later versions must be able to start from such
// a file, so it is never regenerated. The files in testdata/golden/refused are copies of it with errors made by hand.

// load reads a cached map as the program does at its start.
func load(t *testing.T, name string) (*shardmap.Snapshot, error) {
	t.Helper()
	cache := shardcatalog.NewCache(filepath.Join("testdata", "golden", name), func(err error) { t.Error(err) })
	defer cache.Close()
	return cache.Load()
}

// TestGoldenMap guards the format of the cache file: a map that an earlier version cached is loaded with all its
// fields, can be used, and is written again byte for byte.
func TestGoldenMap(t *testing.T) {
	snapshot, err := load(t, "map.json")
	require.NoError(t, err)
	bucketRange := func(lo, hi int) shardmap.Range { return shardmap.Range{Start: lo, End: hi} }
	require.Equal(t, &shardmap.Snapshot{Epoch: 1047, Buckets: 64,
		Shards: []*shardmap.Shard{
			{ID: 5, Range: bucketRange(0, 6), Replicas: []string{"s-0", "s-1", "s-2"}, State: shardmap.Serving, Since: 1042,
				Parents: []int{0}},
			{ID: 6, Range: bucketRange(6, 16), Replicas: []string{"s-0", "s-1", "s-2"}, State: shardmap.HandingOver,
				From: "s-1", To: "s-3", Since: 1046, Parents: []int{0}},
			{ID: 1, Range: bucketRange(16, 32), Replicas: []string{"s-1", "s-2", "s-3"}, State: shardmap.Preparing,
				From: "s-2", To: "s-0", Since: 1044},
			{ID: 7, Range: bucketRange(32, 48), Replicas: []string{"s-2", "s-3"}, State: shardmap.Serving, Since: 1043,
				Parents: []int{2, 3}},
			{ID: 4, Range: bucketRange(48, 64), Replicas: []string{"s-0", "s-11"}, State: shardmap.Serving, Since: 1047},
		},
		Retired: []shardmap.RetiredShard{{ID: 0, Range: bucketRange(0, 16)}, {ID: 2, Range: bucketRange(32, 40)},
			{ID: 3, Range: bucketRange(40, 48)}}}, snapshot)

	m := shardmap.New(shardmap.Options{})
	removed, err := m.Reset(*snapshot)
	require.NoError(t, err)
	assert.Empty(t, removed)
	assert.EqualValues(t, 1047, m.Current().Epoch)
	for id, want := range map[int]shardmap.Range{0: bucketRange(0, 16), 2: bucketRange(32, 40), 3: bucketRange(40, 48),
		1: bucketRange(16, 32), 4: bucketRange(48, 64), 5: bucketRange(0, 6), 6: bucketRange(6, 16),
		7: bucketRange(32, 48)} {
		got, err := m.Resolve(id)
		require.NoError(t, err, "shard %d", id)
		assert.Equal(t, want, got, "shard %d", id)
	}
	for id, want := range map[int][]string{1: {"s-1", "s-2", "s-3"}, 4: {"s-0", "s-11"}, 5: {"s-0", "s-1", "s-2"},
		6: {"s-0", "s-3", "s-2"}, 7: {"s-2", "s-3"}} {
		assert.Equal(t, want, m.Shard(id).Executors(), "shard %d", id)
	}
	require.Len(t, m.ShardsInMotion(), 2)

	// Writing it again yields the same bytes.
	path := filepath.Join(t.TempDir(), "map.json")
	cache := shardcatalog.NewCache(path, func(err error) { t.Error(err) })
	cache.Save(m.Current(), m.Retired(1<<12))
	cache.Close()
	got, err := os.ReadFile(path)
	require.NoError(t, err)
	want, err := os.ReadFile(filepath.Join("testdata", "golden", "map.json"))
	require.NoError(t, err)
	assert.Equal(t, string(want), string(got))

	// The next change can be applied to it.
	_, err = m.Apply([]shardmap.Change{{Base: 1047, Epoch: 1048, Kind: shardmap.Done, Shard: 6}}, nil)
	require.NoError(t, err)
	assert.Equal(t, []string{"s-0", "s-3", "s-2"}, m.Shard(6).Replicas)
}

// TestGoldenMapRejected: a cached map that is truncated, empty or malformed is rejected when it is loaded, and an
// inconsistent one when it is applied. Loading does not modify the file.
func TestGoldenMapRejected(t *testing.T) {
	for name, wantText := range map[string]string{
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
		snapshot, err := load(t, "refused/"+name)
		require.ErrorIs(t, err, shardcatalog.ErrMalformedDocument, name)
		assert.ErrorContains(t, err, wantText, name)
		assert.ErrorContains(t, err, file, "the error names the file")
		assert.Nil(t, snapshot, name)
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
		snapshot, err := load(t, "refused/"+name)
		require.NoError(t, err, name)
		m := shardmap.New(shardmap.Options{})
		_, err = m.Reset(*snapshot)
		require.ErrorIs(t, err, want, name)
		assert.Zero(t, m.Current().Epoch, "%s: the map is unchanged", name)
	}
}
