package loop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// readBytes is the size of one read.
	readBytes = 16 << 10
	// maxDiscardReads bounds the reads of one DiscardInput, so that a peer that sends without end does not hold the loop.
	maxDiscardReads = 4
	// maxIdleBufferBytes is the largest input buffer that a connection keeps while it has no input.
	maxIdleBufferBytes = 4 * readBytes
)

// readBuffer is shared by all streams: they run on the loop's thread and keep no reference to it.
var readBuffer [readBytes]byte

// Stream buffers the input and output of a non-blocking connection.
type Stream struct {
	// FD is the descriptor of the connection.
	FD int
	// In holds the bytes that were read and not consumed.
	In []byte
	// Out holds the bytes that are to be written. Callers append to it and call Flush.
	Out []byte
	// BytesWritten counts the bytes that the kernel has accepted since the stream was made.
	BytesWritten uint64

	loop   *Loop
	events uint32
}

// NewStream registers a connection with the loop. On an error it closes fd.
func NewStream(l *Loop, fd int, events uint32, handler Handler) (*Stream, error) {
	if err := l.Add(fd, events, handler); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return &Stream{FD: fd, loop: l, events: events}, nil
}

// Read appends to In what has arrived, until In holds limit bytes. eof says that the peer has closed its side and
// nothing is left to read. A reset is an error; what arrived before it is in In.
func (s *Stream) Read(limit int) (eof bool, err error) {
	for len(s.In) < limit {
		count, err := unix.Read(s.FD, readBuffer[:min(readBytes, limit-len(s.In))])
		switch {
		case count > 0:
			s.In = append(s.In, readBuffer[:count]...)
		case count == 0 && err == nil:
			return true, nil
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return false, nil
		default:
			return false, err
		}
	}
	return false, nil
}

// PeerOpen reports whether, as far as has arrived, the peer has neither closed nor reset the connection. Unread input
// counts as open.
func (s *Stream) PeerOpen() bool {
	count, err := s.peek()
	return count > 0 || errors.Is(err, unix.EAGAIN)
}

// HasUnread reports whether input has arrived that was not read.
func (s *Stream) HasUnread() bool {
	count, _ := s.peek()
	return count > 0
}

// peek returns 1 where input has arrived, without reading it, and otherwise 0 or less with the error of the socket.
func (s *Stream) peek() (int, error) {
	var next [1]byte
	count, _, err := unix.Recvfrom(s.FD, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return count, err
}

// DiscardInput reads and drops what has arrived, in maxDiscardReads reads at most. It returns the number of bytes
// dropped, and eof and err as Read does. In is not touched.
func (s *Stream) DiscardInput() (dropped int, eof bool, err error) {
	for range maxDiscardReads {
		count, err := unix.Read(s.FD, readBuffer[:])
		switch {
		case count > 0:
			dropped += count
		case err == nil:
			return dropped, true, nil
		case errors.Is(err, unix.EAGAIN):
			return dropped, false, nil
		case !errors.Is(err, unix.EINTR):
			return dropped, false, err
		}
	}
	return dropped, false, nil
}

// Consume drops the first count bytes of In. Slices of In are invalid afterwards.
func (s *Stream) Consume(count int) {
	s.In = append(s.In[:0], s.In[count:]...)
	if len(s.In) == 0 && cap(s.In) > maxIdleBufferBytes {
		s.In = nil
	}
}

// Flush writes what the kernel accepts of Out; the rest stays in Out. An error means that the connection is unusable.
func (s *Stream) Flush() error {
	for len(s.Out) > 0 {
		count, err := unix.Write(s.FD, s.Out)
		if count > 0 {
			s.BytesWritten += uint64(count)
			s.Out = s.Out[count:]
			continue
		}
		switch {
		case errors.Is(err, unix.EAGAIN):
			return nil
		case errors.Is(err, unix.EINTR):
			continue
		case err == nil:
			return io.ErrShortWrite
		}
		return err
	}
	s.Out = nil
	return nil
}

// SetEvents replaces the epoll events for which the connection is watched.
func (s *Stream) SetEvents(events uint32) {
	if s.events == events {
		return
	}
	s.events = events
	s.loop.SetEvents(s.FD, events)
}

// Close closes the connection. The stream must not be used afterwards.
func (s *Stream) Close() { s.loop.Close(s.FD) }
