package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of one play: what was sent, answered and run. Times are ms since the start of the play.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), began: time.Now()}, nil
}

// line writes one line with the present time.
func (r *record) line(format string, args ...any) { r.lineAt(time.Now(), format, args...) }

// lineAt writes one line with the given time.
func (r *record) lineAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f %s\n", r.ms(at), fmt.Sprintf(format, args...))
}

// say writes one line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%9.1f %s\n", r.ms(time.Now()), fmt.Sprintf(format, args...))
}

func (r *record) ms(at time.Time) float64 { return float64(at.Sub(r.began).Microseconds()) / 1000 }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
