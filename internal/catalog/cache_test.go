package catalog

import (
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ternstage/internal/slicemap"
)

// The kept file is the last map, however many there were in a moment, and closing does not wait for the pace at which it
// is written.
func TestCacheKeepsTheLastMapAndClosesAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "map.json")
	c := NewCache(path, func(err error) { t.Error(err) })
	w, err := c.Load()
	require.True(t, w == nil && err == nil, "there is none yet")
	m := slicemap.New(slicemap.Options{})
	text, err := json.Marshal(largeDocument(4))
	require.NoError(t, err)
	update, err := Parse(text)
	require.NoError(t, err)
	_, err = m.Reset(*update.Snapshot)
	require.NoError(t, err)
	c.Save(m.Current(), nil)
	require.Eventually(t, func() bool { _, err := os.Stat(path); return err == nil }, 10*time.Second, time.Millisecond)
	for i := range 5 { // while it rests
		_, err = m.Apply([]slicemap.Change{{Base: uint64(5 + i), Epoch: uint64(6 + i), Kind: slicemap.Assign,
			Replicas: []string{"z"}}}, nil)
		require.NoError(t, err)
		c.Save(m.Current(), m.Retired(9))
	}
	began := time.Now()
	c.Close()
	require.Less(t, time.Since(began), cacheEvery/2)
	w, err = NewCache(path, nil).Load()
	require.NoError(t, err)
	require.EqualValues(t, 10, w.Epoch)
	require.NoError(t, os.WriteFile(path, []byte("{"), 0o600))
	_, err = NewCache(path, nil).Load()
	require.True(t, errors.Is(err, ErrMalformedDocument), err)
}
