package loop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ClockStart is the reading, in ms, of a loop's clock when the loop is made. It is one day: 0 can then stand for "long
// ago", and times up to a day before the start of the process are positive.
const ClockStart = 24 * 3600 * 1000.0

const (
	// eventsPerBatch is the number of events that one epoll_wait returns at most.
	eventsPerBatch = 128
	// maxBatches bounds the batches that one poll handles, so that a flood of events cannot defer the round for ever.
	maxBatches = 16
	// maxPolls bounds the polls before a scheduling round, for the same reason.
	maxPolls = 16
	// maxClockAgeMs is how old the loop's time may be when the scheduling round starts. Where handlers took longer, what
	// has happened meanwhile is gathered first.
	maxClockAgeMs = 20.0
)

// Loop is an epoll loop. Only Post may be called from other threads.
//
// Invariant: onRoundEnd runs once per wake-up, after all events, posted work and due timers that were gathered.
type Loop struct {
	epollFD       int
	startedAt     time.Time
	now           float64
	registrations map[int32]registration // by descriptor
	lastSerial    int32
	timers        []*Timer
	onRoundEnd    func()
	stopped       bool

	wakeup wakeup
	mu     sync.Mutex // guards posted
	posted []func()
}

// New returns a loop without timers and with no registration but its own.
func New() (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("epoll: %w", err)
	}
	wake, err := newWakeup()
	if err != nil {
		return nil, err
	}
	l := &Loop{
		epollFD:       epollFD,
		startedAt:     time.Now(),
		now:           ClockStart,
		registrations: map[int32]registration{},
		wakeup:        wake,
	}
	if err := l.Add(wake.fd, unix.EPOLLIN, wake); err != nil {
		return nil, err
	}
	return l, nil
}

// Now returns the monotonic time, in ms, at which the events that are being handled were gathered.
func (l *Loop) Now() float64 { return l.now }

// ReadClock returns the present monotonic time in ms.
func (l *Loop) ReadClock() float64 { return ClockStart + float64(time.Since(l.startedAt))/1e6 }

// OnRoundEnd sets the function that runs at the end of each wake-up; by default none does.
func (l *Loop) OnRoundEnd(runRound func()) { l.onRoundEnd = runRound }

// Stop makes Run return at the end of the present wake-up.
func (l *Loop) Stop() { l.stopped = true }

// Run handles events until Stop. It returns an error only if epoll fails.
func (l *Loop) Run() error {
	for !l.stopped {
		if err := l.pollUntilCurrent(); err != nil {
			return err
		}
		if l.onRoundEnd != nil {
			l.onRoundEnd()
		}
	}
	return nil
}

// pollUntilCurrent waits for something to happen and polls until the loop's time is recent enough for a round.
func (l *Loop) pollUntilCurrent() error {
	timeoutMs := l.pollTimeoutMs()
	for range maxPolls {
		if err := l.poll(timeoutMs); err != nil {
			return err
		}
		if l.ReadClock()-l.now < maxClockAgeMs {
			return nil
		}
		timeoutMs = 0
	}
	return nil
}

// poll waits up to timeoutMs for events and handles all that has happened: every event that the kernel holds, then the
// posted work, then the timers that are due.
func (l *Loop) poll(timeoutMs int) error {
	if err := l.handleEvents(timeoutMs); err != nil {
		return err
	}
	l.runPosted()
	l.fireTimers()
	return nil
}

// handleEvents waits up to timeoutMs and calls the handlers of all ready descriptors.
func (l *Loop) handleEvents(timeoutMs int) error {
	var events [eventsPerBatch]unix.EpollEvent
	for range maxBatches {
		count, err := unix.EpollWait(l.epollFD, events[:], timeoutMs)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.now = l.ReadClock()
		for _, event := range events[:max(count, 0)] {
			l.dispatch(event)
		}
		// A signal, also the one that resumes a stopped process, ends the wait without events, and a full batch leaves
		// events behind.
		if err == nil && count < eventsPerBatch {
			return nil
		}
		timeoutMs = 0
	}
	return nil
}
