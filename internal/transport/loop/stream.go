package loop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

const (
	// readBytes is the maximum size of one read.
	readBytes = 16 << 10
	// maxReads limits the reads of one Read, so that a peer that sends continuously does not block the loop.
	maxReads = 16
	// maxDiscardReads limits the reads of one DiscardInput, so that a peer that sends continuously does not block the
	// loop.
	maxDiscardReads = 4
	// maxIdleBufferBytes is the maximum capacity of an input buffer that a connection keeps while the buffer is
	// empty.
	maxIdleBufferBytes = 4 * readBytes
)

// readBuffer is shared by all streams. Streams are used only on the loop's thread and keep no reference to the
// buffer.
var readBuffer [readBytes]byte

// Stream is a non-blocking connection with buffered input and output.
type Stream struct {
	// FD is the descriptor of the connection.
	FD int
	// In holds the bytes that were read and have not been consumed.
	In []byte
	// Out holds the bytes that have not been written yet. Callers append to it and call Flush.
	Out []byte
	// BytesWritten is the number of bytes that the kernel has accepted since the stream was created.
	BytesWritten uint64

	loop   *Loop
	events uint32 // for which the connection is registered
}

// NewStream registers a connection with the loop. If that fails, it closes fd.
func NewStream(l *Loop, fd int, events uint32, handler Handler) (*Stream, error) {
	if err := l.Add(fd, events, handler); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return &Stream{FD: fd, loop: l, events: events}, nil
}

// Read appends the input that has arrived to In, until In holds limit bytes and in at most maxReads reads; the loop
// reports what is left as another event. eof reports that the peer has closed its side and nothing is left to read. A
// reset is returned as an error; In then holds the input that arrived before it.
func (s *Stream) Read(limit int) (eof bool, err error) {
	for range maxReads {
		if len(s.In) >= limit {
			break
		}
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

// PeerOpen reports whether the peer, as far as is known here, has neither closed nor reset the connection. A
// connection with unread input counts as open.
func (s *Stream) PeerOpen() bool {
	count, err := s.peek()
	return count > 0 || errors.Is(err, unix.EAGAIN)
}

// HasUnread reports whether input has arrived that has not been read.
func (s *Stream) HasUnread() bool {
	count, _ := s.peek()
	return count > 0
}

// peek checks for input without consuming it. It returns 1 if there is input. Otherwise it returns 0 or less, and the
// socket's error if there is one.
func (s *Stream) peek() (int, error) {
	var next [1]byte
	count, _, err := unix.Recvfrom(s.FD, next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return count, err
}

// DiscardInput reads and drops the input that has arrived, in at most maxDiscardReads reads. It returns the number of
// bytes dropped, and eof and err as Read does. It does not change In.
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

// Flush writes as much of Out as the kernel accepts and leaves the rest in Out. After an error the connection is
// unusable.
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

// SetEvents replaces the epoll events for which the connection is registered.
func (s *Stream) SetEvents(events uint32) {
	if s.events == events {
		return
	}
	s.events = events
	s.loop.SetEvents(s.FD, events)
}

// Close closes the connection. The stream must not be used afterwards.
func (s *Stream) Close() { s.loop.Close(s.FD) }
