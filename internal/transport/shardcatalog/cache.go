package shardcatalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ternstage/internal/decision/shardmap"
)

// cacheWriteInterval is the minimum interval between two writes of the file. A slightly outdated file does no harm:
// after a restart, the first watch returns the changes since then or a snapshot.
const cacheWriteInterval = time.Second

// Cache stores the latest map in a file, for the next process. A separate goroutine writes the file; versions are
// immutable, so it needs no lock on the map.
type Cache struct {
	path    string
	onError func(error)

	mutex   sync.Mutex
	pending *cachedMap // the map to write next; nil if there is none; guarded by mutex

	changed chan struct{} // holds a value if pending may be set
	closing chan struct{} // closed by Close
	closed  chan struct{} // closed when the goroutine has ended
}

// cachedMap is the content of a cache file.
type cachedMap struct {
	version *shardmap.Version
	retired []shardmap.RetiredShard
}

// NewCache returns a Cache that uses the file at path, whose directory must exist. onError is called in another
// goroutine for each write that fails. The caller must call Close.
func NewCache(path string, onError func(error)) *Cache {
	cache := &Cache{
		path:    path,
		onError: onError,
		changed: make(chan struct{}, 1),
		closing: make(chan struct{}),
		closed:  make(chan struct{}),
	}
	go cache.run()
	return cache
}

// Load returns the map in the file, or nil without an error if there is no file. It returns an error for a file that
// cannot be used, and does not modify it; the error matches ErrMalformedDocument if the file was readable.
func (c *Cache) Load() (*shardmap.Snapshot, error) {
	text, err := os.ReadFile(c.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	update, err := Parse(text)
	if err == nil && update.Snapshot == nil {
		err = fmt.Errorf("%w: changes instead of a snapshot", ErrMalformedDocument)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.path, err)
	}
	return update.Snapshot, nil
}

// Save schedules a version to be written, with the shards that were retired before it. It does not block. Of several
// versions saved in quick succession, only the last is written.
func (c *Cache) Save(version *shardmap.Version, retired []shardmap.RetiredShard) {
	c.mutex.Lock()
	c.pending = &cachedMap{version: version, retired: retired}
	c.mutex.Unlock()
	select {
	case c.changed <- struct{}{}:
	default: // the goroutine has not received the previous signal yet, and will find this version
	}
}

// Close writes the last saved version, if it is not written yet, and stops the goroutine. It does not wait for
// cacheWriteInterval to elapse.
func (c *Cache) Close() {
	close(c.closing)
	<-c.closed
}

func (c *Cache) run() {
	defer close(c.closed)
	closing := false
	for !closing {
		select {
		case <-c.changed:
		case <-c.closing:
			closing = true
		}
		saved := c.takePending()
		if saved == nil {
			continue
		}
		if err := c.write(saved); err != nil {
			c.onError(err)
		}
		select {
		case <-time.After(cacheWriteInterval):
		case <-c.closing:
		}
	}
}

func (c *Cache) takePending() *cachedMap {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	saved := c.pending
	c.pending = nil
	return saved
}

// write replaces the file atomically: after a crash, it has either the old or the new content.
func (c *Cache) write(saved *cachedMap) error {
	text, err := json.Marshal(FormatSnapshot(saved.version, nil, saved.retired))
	if err != nil {
		return err
	}
	file, err := os.CreateTemp(filepath.Dir(c.path), filepath.Base(c.path)+".*")
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), c.path)
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return fmt.Errorf("write shard map cache: %w", err)
	}
	return nil
}
