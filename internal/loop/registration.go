package loop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Handler is a connection, a listener or another owner of a descriptor.
type Handler interface {
	// Ready tells what epoll said of the descriptor.
	Ready(events uint32)
}

// registration is a descriptor that was added.
type registration struct {
	Handler
	serial int32
}

// Add registers a descriptor.
func (l *Loop) Add(fd int, events uint32, h Handler) error {
	l.lastSerial++
	e := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.lastSerial}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &e); err != nil {
		return fmt.Errorf("epoll add: %w", err)
	}
	l.registrations[int32(fd)] = registration{h, l.lastSerial}
	return nil
}

// SetEvents changes what a descriptor is watched for.
func (l *Loop) SetEvents(fd int, events uint32) {
	e := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[int32(fd)].serial}
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &e)
}

// Close forgets a descriptor and closes it.
func (l *Loop) Close(fd int) {
	delete(l.registrations, int32(fd))
	_ = unix.Close(fd)
}
