package loop

const (
	// delayedRoundMs is the time from the start of a wake-up after which its scheduling round counts as delayed. It is
	// a tenth of the shortest time limit that depends on the rounds, the drain grace of one second.
	delayedRoundMs = 100.0
	// delayReportIntervalMs is the minimum interval between two reports, so that an overloaded loop does not spend
	// its time on them.
	delayReportIntervalMs = 1000.0
)

// RoundDelay describes a wake-up whose scheduling round is delayed, as far as the wake-up has come.
type RoundDelay struct {
	DelayMs        float64 // since the wake-up began
	Polls          int     // polls for events
	Events         int     // events handled
	LongestEventMs float64 // of the handler that took the longest time for one event
}

// roundDelays detects delayed scheduling rounds.
type roundDelays struct {
	beganAtMs      float64 // when the wake-up began; 0 until its first wait has ended
	polls          int     // of this wake-up
	events         int     // of this wake-up
	longestEventMs float64 // of this wake-up
	lastReportAtMs float64
	report         func(RoundDelay) // nil for none
}

// OnRoundDelayed sets the function that receives delayed scheduling rounds, at most one in delayReportIntervalMs. By
// default there is none.
func (l *Loop) OnRoundDelayed(report func(RoundDelay)) { l.delays.report = report }

// beginWakeUp resets the counts for the next wake-up.
func (d *roundDelays) beginWakeUp() {
	d.beganAtMs = 0
	d.polls = 0
	d.events = 0
	d.longestEventMs = 0
}

// addEvents counts the events that a wait has returned.
func (d *roundDelays) addEvents(nowMs float64, count int) {
	if d.beganAtMs == 0 {
		d.beganAtMs = nowMs
	}
	d.events += count
}

// addHandler records the time that the handler of one event took.
func (d *roundDelays) addHandler(tookMs float64) { d.longestEventMs = max(d.longestEventMs, tookMs) }

// check reports the round of this wake-up if it is delayed.
func (d *roundDelays) check(nowMs float64) {
	delayMs := nowMs - d.beganAtMs
	if delayMs < delayedRoundMs || d.report == nil || nowMs-d.lastReportAtMs < delayReportIntervalMs {
		return
	}
	d.lastReportAtMs = nowMs
	d.report(RoundDelay{DelayMs: delayMs, Polls: d.polls, Events: d.events, LongestEventMs: d.longestEventMs})
}
