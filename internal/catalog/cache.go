package catalog

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ternstage/internal/slicemap"
)

// cacheEvery is how often the file is written at most: the map of a restart is old anyway, and a watch brings
// the rest.
const cacheEvery = time.Second

// Cache keeps the last map in a file that outlives the program, so that a broker that starts while the
// catalogue is away serves by what it knew. Versions never change, so the thread that writes needs no lock on
// the map.
type Cache struct {
	path string
	fail func(error)

	mu   sync.Mutex
	next *snapshot // to be written
	wake chan struct{}
	end  chan struct{}
	done chan struct{}
}

type snapshot struct {
	v       *slicemap.Version
	retired []slicemap.RetiredShard
}

// NewCache makes a cache in a file. fail is told of what cannot be written, from another thread.
func NewCache(path string, fail func(error)) *Cache {
	c := &Cache{path: path, fail: fail, wake: make(chan struct{}, 1), end: make(chan struct{}),
		done: make(chan struct{})}
	go c.run()
	return c
}

// Load is the map of the file; nil if there is none. One that cannot be used is an error, and is not touched.
func (c *Cache) Load() (*slicemap.Snapshot, error) {
	text, err := os.ReadFile(c.path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	update, err := Parse(text)
	if err == nil && update.Snapshot == nil {
		err = fmt.Errorf("%w: no whole map", ErrMalformedDocument)
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", c.path, err)
	}
	return update.Snapshot, nil
}

// Save has a map written soon. Of several only the last is.
func (c *Cache) Save(v *slicemap.Version, retired []slicemap.RetiredShard) {
	c.mu.Lock()
	c.next = &snapshot{v, retired}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Close writes what is to be written, at once, and ends.
func (c *Cache) Close() {
	close(c.end)
	<-c.done
}

func (c *Cache) run() {
	defer close(c.done)
	for ending := false; !ending; {
		select {
		case <-c.wake:
		case <-c.end:
			ending = true
		}
		c.mu.Lock()
		s := c.next
		c.next = nil
		c.mu.Unlock()
		if s == nil {
			continue
		}
		if err := c.write(s); err != nil {
			c.fail(err)
		}
		select {
		case <-time.After(cacheEvery):
		case <-c.end: // the program ends: no rest
		}
	}
}

// write replaces the file at once: a crash leaves the old one or the new one.
func (c *Cache) write(s *snapshot) error {
	text, err := json.Marshal(FormatSnapshot(s.v, nil, s.retired))
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(c.path), filepath.Base(c.path)+".*")
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(f.Name(), c.path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return fmt.Errorf("map cache: %w", err)
	}
	return nil
}
