package loop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ClockStart is the reading, in ms, of the loop's clock at its start. It is a day, so that "0" (long ago) and a
// start before ours are both told from a recent one.
const ClockStart = 24 * 3600 * 1000.0

const (
	eventsPerBatch = 128
	maxBatches     = 16       // batches of events before a decision is made without the rest
	maxRoundAgeMs  = 20.0     // ms that a wake-up may be old at its decision: what has come since is read first
	maxSleepMs     = 60_000.0 // ms: the longest sleep, a bound on what a clock mistake could cost
)

// Loop is an epoll loop.
type Loop struct {
	epollFD, wakeFD int
	startedAt       time.Time
	now             float64
	registrations   map[int32]registration
	lastSerial      int32 // descriptors so far: tells the events of one from those of the next of its number
	timers          []*Timer
	onRoundEnd      func()
	stopped         bool

	mu     sync.Mutex
	posted []func()
}

// New makes a loop. turn runs once at the end of each wake-up, after all its events.
func New() (*Loop, error) {
	ep, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		return nil, fmt.Errorf("eventfd: %w", err)
	}
	l := &Loop{epollFD: ep, wakeFD: wake, startedAt: time.Now(), now: ClockStart, registrations: map[int32]registration{}}
	if err := l.Add(wake, unix.EPOLLIN, l); err != nil {
		return nil, err
	}
	return l, nil
}

// Ready empties the eventfd; the posted work itself is run by Run.
func (l *Loop) Ready(uint32) {
	var b [8]byte
	_, _ = unix.Read(l.wakeFD, b[:])
}

// Now is the monotonic clock in ms as of this wake-up.
func (l *Loop) Now() float64 { return l.now }

// ReadClock reads the monotonic clock in ms.
func (l *Loop) ReadClock() float64 { return ClockStart + float64(time.Since(l.startedAt))/1e6 }

// Post hands work to the loop from any thread.
func (l *Loop) Post(work func()) {
	l.mu.Lock()
	l.posted = append(l.posted, work)
	first := len(l.posted) == 1
	l.mu.Unlock()
	if first {
		_, _ = unix.Write(l.wakeFD, []byte{1, 0, 0, 0, 0, 0, 0, 0})
	}
}

// OnRoundEnd sets what runs once at the end of each wake-up.
func (l *Loop) OnRoundEnd(turn func()) { l.onRoundEnd = turn }

// Stop makes Run return after this wake-up.
func (l *Loop) Stop() { l.stopped = true }

// Run serves until Stop.
func (l *Loop) Run() error {
	for !l.stopped {
		sleep := l.sleepMs()
		for range maxBatches {
			if err := l.gather(sleep); err != nil {
				return err
			}
			if sleep = 0; l.ReadClock()-l.now < maxRoundAgeMs {
				break
			}
		}
		if l.onRoundEnd != nil {
			l.onRoundEnd()
		}
	}
	return nil
}

// gather waits for events, and hands in all that has happened: every event that the kernel holds, what other
// threads have posted, and the timers that are due.
func (l *Loop) gather(sleep int) error {
	var events [eventsPerBatch]unix.EpollEvent
	for range maxBatches {
		n, err := unix.EpollWait(l.epollFD, events[:], sleep)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.now = l.ReadClock()
		for i := range max(n, 0) {
			// One closed earlier in this batch is gone from the map, or its number is another's by now: guards
			// new connections against the events of old ones.
			if w := l.registrations[events[i].Fd]; w.Handler != nil && w.serial == events[i].Pad {
				w.Ready(events[i].Events)
			}
		}
		// A signal, also the one that lets a stopped process go on, ends the wait with nothing read, and a full
		// batch leaves the rest behind.
		if err == nil && n < eventsPerBatch {
			break
		}
		sleep = 0
	}
	l.mu.Lock()
	work := l.posted
	l.posted = nil
	l.mu.Unlock()
	for _, f := range work {
		f()
	}
	for _, t := range l.timers {
		if l.now >= t.dueAt {
			t.Stop()
			t.fire()
		}
	}
	return nil
}
