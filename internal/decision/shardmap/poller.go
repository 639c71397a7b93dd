package shardmap

import (
	"math"

	"ternstage/internal/decision/splitmix"
)

const (
	snapshotTimeoutMs = 5000.0 // timeout of a request for a snapshot
	changesTimeoutMs  = 1000.0 // timeout of a request for changes, in addition to its WaitMs
)

// maxDoublings limits the exponent of a delay that doubles, so that the shift cannot overflow.
const maxDoublings = 10

// Poller decides when to call the source of the shard map and what to request. It keeps one watch call in flight, and
// backs off after failures. It requests a snapshot first, and again after an update that could not be applied. When a
// newer epoch is reported, it makes a hinted poll: a call that does not wait for the watch. Further reports of that
// epoch add none while a hinted poll is scheduled.
//
// It is a state machine without a clock or I/O. The caller passes the time, in ms of any monotonic clock, makes the
// calls that Next returns, and reports how each ended with Succeeded, AnswerInvalid or Failed. At most one call is in
// flight.
type Poller struct {
	options PollerOptions
	random  splitmix.Source

	epoch         uint64 // epoch of the map in use
	needsSnapshot bool   // the next call requests a snapshot

	inFlight         bool    // a call is in flight
	callIsWatch      bool    // the call in flight, or the last one, is a watch: the source may delay its answer
	nextCallAt       float64 // ms; when the next call other than a hinted poll is due
	backoffMs        float64 // nominal delay after the last failure; 0 after a success
	hintedEpoch      uint64  // newest epoch that was reported
	hintedPollAt     float64 // ms; when the hinted poll is due; infinite if none is scheduled
	lastHintedPollAt float64 // ms; when the last hinted poll was made
	fruitlessPolls   int     // number of hinted polls in a row that brought no newer epoch
	hintedPolls      uint64  // number of all hinted polls
}

// NewPoller returns a poller whose first call is due at once. seed determines all its random delays.
func NewPoller(options PollerOptions, seed uint64) *Poller {
	return &Poller{
		options:          options,
		random:           splitmix.New(seed),
		needsSnapshot:    true,
		hintedPollAt:     math.Inf(1),
		lastHintedPollAt: math.Inf(-1),
	}
}

// NextAt returns when Next should be called again, in ms. It is infinite while there is nothing to do before the call
// in flight ends.
func (p *Poller) NextAt() float64 {
	if p.inFlight {
		return p.hintedPollAt
	}
	return min(p.nextCallAt, p.hintedPollAt)
}

// Next returns the call that is due, if there is one, and counts it as in flight.
func (p *Poller) Next(now float64) (request PollRequest, due bool) {
	isHinted := now >= p.hintedPollAt && p.hintedEpoch > p.epoch
	if now >= p.hintedPollAt {
		p.hintedPollAt = math.Inf(1)
	}
	if !p.isDue(now, isHinted) {
		return PollRequest{}, false
	}
	request = PollRequest{
		FullSnapshot:   p.needsSnapshot,
		SinceEpoch:     p.epoch,
		WaitMs:         p.options.WatchTimeoutMs,
		CancelsPending: p.inFlight,
	}
	if isHinted { // the source has the newer epoch, so a watch that has not delivered it may be dead
		request.WaitMs = 0
		p.lastHintedPollAt = now
		p.hintedPolls++
	}
	request.TimeoutMs = request.WaitMs + changesTimeoutMs
	if request.FullSnapshot {
		request.WaitMs = 0
		request.TimeoutMs = snapshotTimeoutMs
	}
	p.inFlight = true
	p.callIsWatch = request.WaitMs > 0
	return request, true
}

// isDue reports whether a call is due; isHinted says whether a hinted poll is. Only a watch in flight is cancelled
// for another call.
func (p *Poller) isDue(now float64, isHinted bool) bool {
	if p.inFlight {
		return isHinted && p.callIsWatch
	}
	return isHinted || now >= p.nextCallAt
}

// NewerEpochSeen records that a backend or client has a map of this epoch. It schedules a hinted poll, except while a
// call other than a watch is in flight, as the answer to such a call comes soon. It ignores epochs up to the one in
// use, and epochs for which a hinted poll is scheduled already.
func (p *Poller) NewerEpochSeen(now float64, epoch uint64) {
	isPollScheduled := !math.IsInf(p.hintedPollAt, 1)
	if epoch <= p.epoch || epoch <= p.hintedEpoch && isPollScheduled {
		return
	}
	p.hintedEpoch = max(p.hintedEpoch, epoch)
	hasPromptCall := p.inFlight && !p.callIsWatch
	if !isPollScheduled && !hasPromptCall {
		p.hintedPollAt = max(now+p.options.JitterMs*p.random.Float64(), p.lastHintedPollAt+p.hintedPollIntervalMs())
	}
}

// Succeeded records that the answer to the call was applied. epoch is the epoch now in use.
func (p *Poller) Succeeded(now float64, epoch uint64) {
	isFruitless := !p.callIsWatch && epoch == p.epoch && p.hintedEpoch > epoch
	if isFruitless {
		p.fruitlessPolls++
	} else if epoch > p.epoch {
		p.fruitlessPolls = 0
	}
	p.epoch = epoch
	p.needsSnapshot = false
	p.inFlight = false
	p.backoffMs = 0
	p.nextCallAt = now
	if p.hintedEpoch <= epoch {
		p.hintedPollAt = math.Inf(1)
	}
	if isFruitless { // the source does not have the reported epoch yet
		p.nextCallAt = now + p.hintedPollIntervalMs()*p.jitter()
	}
}

// AnswerInvalid records that the answer to the call was invalid. The next call requests a snapshot. It is due at once
// after invalid changes, and after a backoff if a snapshot was invalid.
func (p *Poller) AnswerInvalid(now float64) {
	wasSnapshot := p.needsSnapshot
	p.needsSnapshot = true
	p.inFlight = false
	if wasSnapshot {
		p.backOff(now)
		return
	}
	p.nextCallAt = now
}

// Failed records that the call ended without an answer.
func (p *Poller) Failed(now float64) {
	p.inFlight = false
	p.backOff(now)
}

// HintedPolls returns how many calls were made because a newer epoch had been reported.
func (p *Poller) HintedPolls() uint64 { return p.hintedPolls }

// hintedPollIntervalMs returns the shortest interval between two hinted polls, in ms. It doubles while hinted polls
// bring no newer epoch, so that a client that names a nonexistent epoch cannot overload the source.
func (p *Poller) hintedPollIntervalMs() float64 {
	intervalMs := p.options.MinIntervalMs
	doubledMs := intervalMs * float64(int(1)<<min(p.fruitlessPolls, maxDoublings))
	return min(doubledMs, max(intervalMs, p.options.BackoffMaxMs))
}

// backOff delays the next call after a failure, with exponential backoff and jitter.
func (p *Poller) backOff(now float64) {
	p.backoffMs = min(max(2*p.backoffMs, p.options.BackoffMinMs), p.options.BackoffMaxMs)
	p.nextCallAt = now + p.backoffMs*p.jitter()
}

// jitter returns a random factor from 0.5 to 1.
func (p *Poller) jitter() float64 { return 0.5 + 0.5*p.random.Float64() }
