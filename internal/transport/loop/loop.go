package loop

import (
	"errors"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// ClockStart is the reading of a loop's clock, in ms, when the loop is created. It is one day, so that 0 can stand
// for "long ago" and times up to a day before the start of the process are positive.
const ClockStart = 24 * 3600 * 1000.0

const (
	// eventsPerBatch is the maximum number of events that one epoll_wait returns.
	eventsPerBatch = 32
	// maxBatches limits the batches of events that one poll handles, so that a flood of events cannot delay the
	// scheduling round indefinitely.
	maxBatches = 64
	// maxEventsMs is the time after which a poll handles no further batch, for the same reason. Events that are left
	// come first in the next poll.
	maxEventsMs = 10.0
	// maxPolls limits the polls before a scheduling round. The second one sees what arrived while the process was held
	// up; the others are for a process that is held up again.
	maxPolls = 4
	// maxClockAgeMs is the maximum age of the loop's time when the scheduling round starts. If handlers took longer,
	// the loop polls again first, so that the round also sees the events that arrived meanwhile.
	maxClockAgeMs = 20.0
)

// Loop is an event loop on top of epoll. Post is the only method that other threads may call.
//
// Invariant: onWakeUpEnd runs once per wake-up, after the handlers of all events, the posted functions, the due timers
// and the queued work of the wake-up.
type Loop struct {
	epollFD       int
	startedAt     time.Time
	now           float64                // clock reading of the last poll, in ms
	registrations map[int32]registration // by descriptor
	lastSerial    int32
	timers        []*Timer
	onWakeUpEnd   func()
	delays        roundDelays
	stopped       bool

	queue workQueue

	eventFD eventFD
	mu      sync.Mutex // guards posted
	posted  []func()
}

// New returns a loop without timers. Its only registration is the eventfd for Post.
func New() (*Loop, error) {
	epollFD, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, fmt.Errorf("create epoll instance: %w", err)
	}
	wake, err := newEventFD()
	if err != nil {
		return nil, err
	}
	l := &Loop{
		epollFD:       epollFD,
		startedAt:     time.Now(),
		now:           ClockStart,
		registrations: map[int32]registration{},
		eventFD:       wake,
	}
	if err := l.Add(wake.fd, unix.EPOLLIN, wake); err != nil {
		return nil, err
	}
	return l, nil
}

// Now returns the monotonic time, in ms, at which epoll returned the events that are being handled. It does not
// advance while handlers run.
func (l *Loop) Now() float64 { return l.now }

// ReadClock reads the monotonic clock and returns the current time in ms.
func (l *Loop) ReadClock() float64 { return ClockStart + float64(time.Since(l.startedAt))/1e6 }

// OnWakeUpEnd sets the function that the loop calls at the end of each wake-up. By default there is none.
func (l *Loop) OnWakeUpEnd(runRound func()) { l.onWakeUpEnd = runRound }

// Stop makes Run return at the end of the current wake-up.
func (l *Loop) Stop() { l.stopped = true }

// Run handles events until Stop is called. It returns an error only if epoll fails.
func (l *Loop) Run() error {
	for !l.stopped {
		l.delays.beginWakeUp()
		if err := l.pollUntilCurrent(); err != nil {
			return err
		}
		if l.onWakeUpEnd != nil {
			l.onWakeUpEnd()
		}
	}
	return nil
}

// pollUntilCurrent waits for an event, posted work or a due timer, and runs queued work. It polls again until the
// loop's time is less than maxClockAgeMs old, up to maxPolls times in all.
func (l *Loop) pollUntilCurrent() error {
	timeoutMs := l.pollTimeoutMs()
	budgetMs := queuedWorkBudgetMs
	for range maxPolls {
		if err := l.poll(timeoutMs); err != nil {
			return err
		}
		budgetMs -= l.runQueue(budgetMs)
		l.delays.polls++
		clockMs := l.ReadClock()
		l.delays.check(clockMs)
		if clockMs-l.now < maxClockAgeMs {
			return nil
		}
		timeoutMs = 0
	}
	return nil
}

// poll waits up to timeoutMs for events. It then handles the events that the kernel has pending, runs the posted work
// and fires the due timers, in this order.
func (l *Loop) poll(timeoutMs int) error {
	if err := l.handleEvents(timeoutMs); err != nil {
		return err
	}
	l.runPosted()
	l.fireTimers()
	return nil
}

// handleEvents waits up to timeoutMs for events and calls the handlers of the ready descriptors: of all of them,
// unless that takes longer than maxEventsMs.
func (l *Loop) handleEvents(timeoutMs int) error {
	var events [eventsPerBatch]unix.EpollEvent
	startedAt := 0.0
	for range maxBatches {
		count, err := unix.EpollWait(l.epollFD, events[:], timeoutMs)
		if err != nil && !errors.Is(err, unix.EINTR) {
			return fmt.Errorf("epoll wait: %w", err)
		}
		l.now = l.ReadClock()
		if startedAt == 0 {
			startedAt = l.now
		}
		l.delays.addEvents(l.now, max(count, 0))
		l.dispatchAll(events[:max(count, 0)])
		// Continues without waiting in two cases. A signal, including the SIGCONT that resumes a stopped process,
		// interrupts the wait before any event is returned. A full batch may leave more events pending.
		if err == nil && count < eventsPerBatch {
			return nil
		}
		if l.ReadClock()-startedAt > maxEventsMs {
			return nil
		}
		timeoutMs = 0
	}
	return nil
}

// dispatchAll calls the handlers of the events and records the longest time that one took.
func (l *Loop) dispatchAll(events []unix.EpollEvent) {
	beganAtMs := l.now
	for _, event := range events {
		l.dispatch(event)
		endedAtMs := l.ReadClock()
		l.delays.addHandler(endedAtMs - beganAtMs)
		beganAtMs = endedAtMs
	}
}
