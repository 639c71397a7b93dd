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

// cacheWriteInterval is the least time between two writes of the file. A map that is a little old does no harm: after
// a restart the first watch brings the rest.
const cacheWriteInterval = time.Second

// Cache stores the last map in a file, for the next process. It writes in a goroutine of its own; versions are
// immutable, so it needs no lock on the map.
type Cache struct {
	path    string
	onError func(error)

	mutex   sync.Mutex
	pending *cachedMap // the map to be written next; guarded by mutex

	changed chan struct{} // holds a value while pending may be set
	closing chan struct{} // closed by Close
	closed  chan struct{} // closed when the goroutine has ended
}

type cachedMap struct {
	version *shardmap.Version
	retired []shardmap.RetiredShard
}

// NewCache makes a cache in the file at path, whose directory must exist. onError is called for each write that
// fails, in another goroutine. Close must be called to end the cache.
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

// Load reads the map of the file; nil without an error if there is no file. A file that cannot be used is an error and
// is not modified; the error matches ErrMalformedDocument if the file could be read.
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
		err = fmt.Errorf("%w: no snapshot", ErrMalformedDocument)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.path, err)
	}
	return update.Snapshot, nil
}

// Save has a version written soon, with the shards that were retired before it. It does not block; of versions saved
// in quick succession only the last is written.
func (c *Cache) Save(version *shardmap.Version, retired []shardmap.RetiredShard) {
	c.mutex.Lock()
	c.pending = &cachedMap{version: version, retired: retired}
	c.mutex.Unlock()
	select {
	case c.changed <- struct{}{}:
	default: // the goroutine has yet to take the last signal, and will find this version
	}
}

// Close writes the version that was saved last, if that has not been done, and ends the cache. It does not wait for the
// interval between writes.
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

// write replaces the file atomically: a crash leaves the old content or the new one.
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
		return fmt.Errorf("shard map cache: %w", err)
	}
	return nil
}
