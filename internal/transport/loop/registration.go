package loop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// Handler handles the events of one descriptor, such as a connection or a listener.
type Handler interface {
	// Ready is called on the loop's thread with the epoll events of the descriptor. It must not block.
	Ready(events uint32)
}

// registration is a descriptor that the loop watches.
type registration struct {
	handler Handler
	// serial is unique to the registration, and epoll returns it with each event. The kernel reuses the number of a
	// closed descriptor at once, so the number alone does not identify the registration of an event.
	serial int32
}

// Add registers a descriptor for epoll events. The descriptor must be non-blocking and must not be registered yet.
func (l *Loop) Add(fd int, events uint32, handler Handler) error {
	l.lastSerial++
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.lastSerial}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &event); err != nil {
		return fmt.Errorf("add descriptor %d to epoll: %w", fd, err)
	}
	l.registrations[int32(fd)] = registration{handler, l.lastSerial}
	return nil
}

// SetEvents replaces the events for which a descriptor is registered.
func (l *Loop) SetEvents(fd int, events uint32) {
	event := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[int32(fd)].serial}
	_ = unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &event)
}

// Close removes the registration of a descriptor and closes the descriptor. Its events that epoll has returned and
// that have not been handled yet are dropped.
func (l *Loop) Close(fd int) {
	delete(l.registrations, int32(fd))
	_ = unix.Close(fd)
}

// dispatch calls the handler of an event, unless the handler of an earlier event in the batch closed the descriptor.
func (l *Loop) dispatch(event unix.EpollEvent) {
	registered, ok := l.registrations[event.Fd]
	if ok && registered.serial == event.Pad {
		registered.handler.Ready(event.Events)
	}
}
