package loop

import "math"

// maxPollTimeoutMs is the maximum duration of one wait for events. It limits the delay that a bug in a timer causes.
const maxPollTimeoutMs = 60_000.0

// Timer fires once at a time on the loop's clock. The loop never drops a timer, so a component creates a fixed few
// for its lifetime and none for a single request.
type Timer struct {
	dueAt float64 // ms; infinite while the timer is stopped
	fire  func()
}

// NewTimer returns a stopped timer. fire runs on the loop's thread and may set the timer again.
func (l *Loop) NewTimer(fire func()) *Timer {
	timer := &Timer{dueAt: math.Inf(1), fire: fire}
	l.timers = append(l.timers, timer)
	return timer
}

// Set arms the timer for a time in ms and replaces any earlier setting. A time in the past is due at once.
func (t *Timer) Set(at float64) { t.dueAt = at }

// SetEarlier arms the timer for a time in ms, unless it is already set to an earlier time.
func (t *Timer) SetEarlier(at float64) { t.dueAt = min(t.dueAt, at) }

// Stop disarms the timer.
func (t *Timer) Stop() { t.dueAt = math.Inf(1) }

// fireTimers fires the due timers, in the order of their creation.
func (l *Loop) fireTimers() {
	for _, timer := range l.timers {
		if l.now >= timer.dueAt {
			timer.Stop()
			timer.fire()
		}
	}
}

// pollTimeoutMs returns the time until the next timer is due, at most maxPollTimeoutMs. It is rounded up, so that the
// timer is due when the wait ends. It returns 0 while work is queued.
func (l *Loop) pollTimeoutMs() int {
	if l.queue.length > 0 {
		return 0
	}
	nextDueAt := math.Inf(1)
	now := l.ReadClock()
	for _, timer := range l.timers {
		nextDueAt = min(nextDueAt, timer.dueAt)
	}
	return int(math.Ceil(min(max(nextDueAt-now, 0), maxPollTimeoutMs)))
}
