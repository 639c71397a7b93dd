package loop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"
)

const (
	readBytes       = 16 << 10
	maxDiscardReads = 4 // of what is thrown away in one wake-up
)

var readBuffer [readBytes]byte // the loop is one thread

// Stream is the byte side of a connection: what was read and not parsed, what is to be written.
type Stream struct {
	FD           int
	In, Out      []byte
	BytesWritten uint64 // bytes that the kernel has taken
	loop         *Loop
	events       uint32
}

// NewStream registers a connection with the loop.
func NewStream(l *Loop, fd int, events uint32, h Handler) (*Stream, error) {
	if err := l.Add(fd, events, h); err != nil {
		_ = unix.Close(fd)
		return nil, err
	}
	return &Stream{FD: fd, loop: l, events: events}, nil
}

// Read takes what has come, up to limit bytes held. eof tells that the peer has ended its side.
func (s *Stream) Read(limit int) (eof bool, err error) {
	for len(s.In) < limit {
		n, err := unix.Read(s.FD, readBuffer[:min(readBytes, limit-len(s.In))])
		switch {
		case n > 0:
			s.In = append(s.In, readBuffer[:n]...)
		case n == 0 && err == nil:
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

// PeerOpen tells that the peer has neither ended nor reset the connection, as far as has come.
func (s *Stream) PeerOpen() bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(s.FD, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n > 0 || errors.Is(err, unix.EAGAIN)
}

// HasUnread tells that bytes have come that were not read.
func (s *Stream) HasUnread() bool {
	var b [1]byte
	n, _, _ := unix.Recvfrom(s.FD, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return n > 0
}

// DiscardInput throws away what has come, a few reads at most, and tells how much that was.
func (s *Stream) DiscardInput() (n int, eof bool, err error) {
	for range maxDiscardReads {
		k, err := unix.Read(s.FD, readBuffer[:])
		switch {
		case k > 0:
			n += k
		case err == nil:
			return n, true, nil
		case errors.Is(err, unix.EAGAIN):
			return n, false, nil
		case !errors.Is(err, unix.EINTR):
			return n, false, err
		}
	}
	return n, false, nil
}

// Consume drops parsed bytes.
func (s *Stream) Consume(n int) {
	if s.In = append(s.In[:0], s.In[n:]...); len(s.In) == 0 && cap(s.In) > 4*readBytes {
		s.In = nil // an idle connection keeps no large buffer
	}
}

// Flush writes what the kernel takes; the rest stays in Out.
func (s *Stream) Flush() error {
	for len(s.Out) > 0 {
		n, err := unix.Write(s.FD, s.Out)
		if n > 0 {
			s.BytesWritten += uint64(n)
			s.Out = s.Out[n:]
			continue
		}
		if errors.Is(err, unix.EAGAIN) {
			return nil
		}
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err == nil {
			err = io.ErrShortWrite
		}
		return err
	}
	s.Out = nil
	return nil
}

// SetEvents sets what the connection waits for.
func (s *Stream) SetEvents(events uint32) {
	if s.events != events {
		s.events = events
		s.loop.SetEvents(s.FD, events)
	}
}

// Close closes the connection.
func (s *Stream) Close() { s.loop.Close(s.FD) }
