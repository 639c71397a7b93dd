package shardcatalog

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/shardmap"
)

// newMap returns a map with the shards of largeDocument.
func newMap(t testing.TB, shards int) *shardmap.Map {
	t.Helper()
	text, err := json.Marshal(largeDocument(shards))
	require.NoError(t, err)
	update, err := Parse(text)
	require.NoError(t, err)
	m := shardmap.New(shardmap.Options{})
	_, err = m.Reset(*update.Snapshot)
	require.NoError(t, err)
	return m
}

func TestCacheStoresTheLastMapAndClosesAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "map.json")
	cache := NewCache(path, func(err error) { t.Error(err) })
	snapshot, err := cache.Load()
	require.NoError(t, err)
	require.Nil(t, snapshot, "the file does not exist yet")

	m := newMap(t, 4)
	cache.Save(m.Current(), nil)
	written := func() bool {
		_, err := os.Stat(path)
		return err == nil
	}
	require.Eventually(t, written, 10*time.Second, time.Millisecond)
	for i := range 5 { // within the interval between two writes
		base := uint64(5 + i)
		_, err = m.Apply([]shardmap.Change{
			{Base: base, Epoch: base + 1, Kind: shardmap.Assign, Replicas: []string{"z"}},
		}, nil)
		require.NoError(t, err)
		cache.Save(m.Current(), m.Retired(9))
	}
	began := time.Now()
	cache.Close()
	require.Less(t, time.Since(began), cacheWriteInterval/2)

	snapshot, err = loadCache(t, path)
	require.NoError(t, err)
	require.EqualValues(t, 10, snapshot.Epoch)
}

func TestCacheRejectsAMalformedFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "map.json")
	for name, text := range map[string]string{
		"truncated": "{",
		"changes":   `{"epoch":5,"complete":false}`,
	} {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := loadCache(t, path)
		require.ErrorIs(t, err, ErrMalformedDocument, name)
	}
}

func loadCache(t *testing.T, path string) (*shardmap.Snapshot, error) {
	t.Helper()
	cache := NewCache(path, func(err error) { t.Error(err) })
	t.Cleanup(cache.Close)
	return cache.Load()
}
