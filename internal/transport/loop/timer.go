package loop

import "math"

// maxPollTimeoutMs bounds one wait for events, and with it the delay that a fault in a timer could cause.
const maxPollTimeoutMs = 60_000.0

// Timer fires once at a time of the loop's clock. Components make a few that live as long as they do: a loop never
// drops a timer, and no timer belongs to a single request.
type Timer struct {
	dueAt float64 // ms; infinite while the timer is stopped
	fire  func()
}

// NewTimer returns a stopped timer. fire runs on the loop; it may set the timer again.
func (l *Loop) NewTimer(fire func()) *Timer {
	timer := &Timer{dueAt: math.Inf(1), fire: fire}
	l.timers = append(l.timers, timer)
	return timer
}

// Set arms the timer for a time in ms, in place of any earlier setting. A time in the past is due at once.
func (t *Timer) Set(at float64) { t.dueAt = at }

// SetEarlier arms the timer for a time in ms unless it is due before that.
func (t *Timer) SetEarlier(at float64) { t.dueAt = min(t.dueAt, at) }

// Stop disarms the timer.
func (t *Timer) Stop() { t.dueAt = math.Inf(1) }

// fireTimers fires the timers that are due, in the order in which they were made.
func (l *Loop) fireTimers() {
	for _, timer := range l.timers {
		if l.now >= timer.dueAt {
			timer.Stop()
			timer.fire()
		}
	}
}

// timeoutMs returns how long epoll may wait until the next timer is due. It is rounded up, so that the timer is due when
// the wait ends.
func (l *Loop) pollTimeoutMs() int {
	nextDueAt := math.Inf(1)
	now := l.ReadClock()
	for _, timer := range l.timers {
		nextDueAt = min(nextDueAt, timer.dueAt)
	}
	return int(math.Ceil(min(max(nextDueAt-now, 0), maxPollTimeoutMs)))
}
