package loop

import (
	"fmt"

	"golang.org/x/sys/unix"
)

// eventFD is an eventfd that interrupts the loop's wait for events.
type eventFD struct{ fd int }

func newEventFD() (eventFD, error) {
	fd, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return eventFD{}, fmt.Errorf("create eventfd: %w", err)
	}
	return eventFD{fd}, nil
}

// signal makes the eventfd readable. It may be called from any thread.
func (e eventFD) signal() {
	_, _ = unix.Write(e.fd, []byte{1, 0, 0, 0, 0, 0, 0, 0})
}

// Ready resets the eventfd. runPosted runs the posted work.
func (e eventFD) Ready(uint32) {
	var counter [8]byte
	_, _ = unix.Read(e.fd, counter[:])
}

// Post queues work for the loop and wakes the loop up. Any thread may call it, including the loop's own. Post does
// not wait until the work has run. Work runs in the order in which it was posted.
func (l *Loop) Post(work func()) {
	l.mu.Lock()
	l.posted = append(l.posted, work)
	wasEmpty := len(l.posted) == 1
	l.mu.Unlock()
	if wasEmpty {
		l.eventFD.signal()
	}
}

// runPosted runs the posted work. Work that is posted meanwhile runs in the next poll.
func (l *Loop) runPosted() {
	l.mu.Lock()
	posted := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, work := range posted {
		work()
	}
}
