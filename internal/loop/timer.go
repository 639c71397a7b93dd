package loop

import "math"

// Timer is one long-lived timer of a component. There are a few in all, none for a request.
type Timer struct {
	dueAt float64
	fire  func()
}

// Set moves the timer to a time of the loop's clock.
func (t *Timer) Set(at float64) { t.dueAt = at }

// Stop disarms the timer.
func (t *Timer) Stop() { t.dueAt = math.Inf(1) }

// SetEarlier moves the timer to a time if that is before the present one.
func (t *Timer) SetEarlier(at float64) { t.dueAt = min(t.dueAt, at) }

// NewTimer makes a disarmed timer.
func (l *Loop) NewTimer(fire func()) *Timer {
	t := &Timer{dueAt: math.Inf(1), fire: fire}
	l.timers = append(l.timers, t)
	return t
}

// sleepMs is how long epoll may wait, in whole ms: rounded up, so that a timer is due when it wakes.
func (l *Loop) sleepMs() int {
	next, now := math.Inf(1), l.ReadClock()
	for _, t := range l.timers {
		next = min(next, t.dueAt)
	}
	return int(math.Ceil(min(max(next-now, 0), maxSleepMs)))
}
