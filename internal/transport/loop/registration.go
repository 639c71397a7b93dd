package loop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Handler owns a descriptor: a connection, a listener or the like.
type Handler interface {
	// Ready is called on the loop with the epoll events of the descriptor. It must not block.
	Ready(events uint32)
}

// registration is a descriptor that the loop watches.
type registration struct {
	handler Handler
	// serial is unique to the registration and comes back with each of its events. The kernel reuses the numbers of
	// closed descriptors at once, so the number alone does not tell whose event it is.
	serial int32
}

// Add watches a descriptor for epoll events. The descriptor must be non-blocking and not be watched yet.
func (l *Loop) Add(fd int, events uint32, handler Handler) error {
	l.lastSerial++
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.lastSerial}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("epoll add: %w", err)
	}
	l.registrations[int32(fd)] = registration{handler, l.lastSerial}
	return nil
}

// SetEvents replaces the events for which a descriptor is watched.
func (l *Loop) SetEvents(fd int, events uint32) {
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[int32(fd)].serial}
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &event)
}

// Close stops watching a descriptor and closes it. Events of it that have been gathered and not handled are dropped.
func (l *Loop) Close(fd int) {
	delete(l.registrations, int32(fd))
	_ = unix.Close(fd)
}

// dispatch calls the handler of an event, unless an earlier event of the batch has closed the descriptor.
func (l *Loop) dispatch(event unix.EpollEvent) {
	registered, ok := l.registrations[event.Fd]
	if ok && registered.serial == event.Pad {
		registered.handler.Ready(event.Events)
	}
}
