package logs

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// stalledOutput blocks all writes until release is closed.
type stalledOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *stalledOutput) Write(line []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(line)
}

// TestWriterDoesNotBlock checks that, with a stalled output, lines are queued up to the limit and then dropped and
// counted, and that a flush times out. When the output resumes, a flush writes the queued lines.
func TestWriterDoesNotBlock(t *testing.T) {
	out := &stalledOutput{release: make(chan struct{})}
	w := newWriter()
	go w.run(out)
	write := func(line string) {
		count, err := w.Write([]byte(line))
		require.NoError(t, err)
		require.Equal(t, len(line), count)
	}
	write("first")
	require.Eventually(t, func() bool { return len(w.lines) == 0 }, 5*time.Second, time.Millisecond, "not being written")
	for range maxQueuedLines {
		write(".")
	}
	assert.Zero(t, w.dropped.Load())
	write("dropped")
	write("dropped")
	assert.EqualValues(t, 2, w.dropped.Load())

	began := time.Now()
	w.flush()
	assert.GreaterOrEqual(t, time.Since(began), flushTimeout)

	close(out.release)
	w.flush()
	assert.Equal(t, len("first")+maxQueuedLines, out.Len())
}

// TestWriterKeepsOrder checks that lines are written in order, and that the caller may reuse its buffer.
func TestWriterKeepsOrder(t *testing.T) {
	var out, want bytes.Buffer
	w := newWriter()
	go w.run(&out)
	line := make([]byte, 0, 16)
	for i := range 100 {
		line = fmt.Appendf(line[:0], "line %d\n", i)
		want.Write(line)
		_, err := w.Write(line)
		require.NoError(t, err)
	}
	w.flush()
	assert.Equal(t, want.String(), out.String())
	assert.NoError(t, w.Sync())
}
