package shardmap

import (
	"math"

	"ternstage/internal/decision/splitmix"
)

const (
	snapshotTimeoutMs = 5000.0 // for a snapshot
	changesTimeoutMs  = 1000.0 // for changes, beyond the time that the source may wait
)

// maxDoublings bounds the exponent of a delay that doubles, so that the shift cannot overflow.
const maxDoublings = 10

// Poller decides when the source of the shard map is called, and for what. It keeps one watch call in flight; asks for
// a snapshot first and after an update that could not be applied; backs off after failures; and polls at once, a
// single time for all who report it, when a newer epoch has been seen.
//
// It is a state machine without a clock or I/O: the caller passes the time, in ms of any monotonic clock, makes the
// calls that Next returns and reports how each ended with Succeeded, Rejected or Failed. At most one call is in flight.
type Poller struct {
	options PollerOptions
	random  splitmix.Source

	epoch         uint64 // in use
	needsSnapshot bool   // the next call asks for a snapshot

	inFlight    bool
	callWaits   bool    // the call in flight, or the last one, is a watch: the source may delay its answer
	nextCallAt  float64 // ms; when the next regular call is due
	backoffMs   float64 // nominal delay after the last failure; 0 after a success
	hintedEpoch uint64  // the newest epoch that was reported
	hintedAt    float64 // ms; when the poll for hintedEpoch is due; infinite if none is
	lastHinted  float64 // ms; when the last such poll was made
	fruitless   int     // such polls in a row that brought no newer epoch
	hintedPolls uint64
}

// NewPoller makes a poller whose first call is due at once. seed determines all its random delays.
func NewPoller(options PollerOptions, seed uint64) *Poller {
	return &Poller{
		options:       options,
		random:        splitmix.New(seed),
		needsSnapshot: true,
		hintedAt:      math.Inf(1),
		lastHinted:    math.Inf(-1),
	}
}

// NextAt is when Next should be called again, in ms; infinite while there is nothing to do but wait for the call in
// flight.
func (p *Poller) NextAt() float64 {
	if p.inFlight {
		return p.hintedAt
	}
	return min(p.nextCallAt, p.hintedAt)
}

// Next returns the call that is due, if there is one, and regards it as in flight.
func (p *Poller) Next(now float64) (request PollRequest, due bool) {
	hinted := now >= p.hintedAt && p.hintedEpoch > p.epoch
	if now >= p.hintedAt {
		p.hintedAt = math.Inf(1)
	}
	if !p.isDue(now, hinted) {
		return PollRequest{}, false
	}
	request = PollRequest{
		FullSnapshot:   p.needsSnapshot,
		SinceEpoch:     p.epoch,
		WaitMs:         p.options.WatchTimeoutMs,
		CancelsPending: p.inFlight,
	}
	if hinted { // the source has the newer epoch, so a watch that has not delivered it may be dead
		request.WaitMs = 0
		p.lastHinted = now
		p.hintedPolls++
	}
	request.TimeoutMs = request.WaitMs + changesTimeoutMs
	if request.FullSnapshot {
		request.WaitMs = 0
		request.TimeoutMs = snapshotTimeoutMs
	}
	p.inFlight = true
	p.callWaits = request.WaitMs > 0
	return request, true
}

// isDue reports whether a call is to be made. Only a watch is cancelled for another call.
func (p *Poller) isDue(now float64, hinted bool) bool {
	if p.inFlight {
		return hinted && p.callWaits
	}
	return hinted || now >= p.nextCallAt
}

// NewerEpochSeen reports that a backend or client has a map of this epoch. Epochs that are in use or were reported
// already are ignored.
func (p *Poller) NewerEpochSeen(now float64, epoch uint64) {
	pollPlanned := !math.IsInf(p.hintedAt, 1)
	if epoch <= p.epoch || epoch <= p.hintedEpoch && pollPlanned {
		return
	}
	p.hintedEpoch = max(p.hintedEpoch, epoch)
	answerIsNear := p.inFlight && !p.callWaits
	if !pollPlanned && !answerIsNear {
		p.hintedAt = max(now+p.options.JitterMs*p.random.Float64(), p.lastHinted+p.hintedIntervalMs())
	}
}

// Succeeded says that the call's answer was applied, and the epoch that is now in use.
func (p *Poller) Succeeded(now float64, epoch uint64) {
	fruitless := !p.callWaits && epoch == p.epoch && p.hintedEpoch > epoch
	if fruitless {
		p.fruitless++
	} else if epoch > p.epoch {
		p.fruitless = 0
	}
	p.epoch = epoch
	p.needsSnapshot = false
	p.inFlight = false
	p.backoffMs = 0
	p.nextCallAt = now
	if p.hintedEpoch <= epoch {
		p.hintedAt = math.Inf(1)
	}
	if fruitless { // the source is behind whoever reported the epoch
		p.nextCallAt = now + p.hintedIntervalMs()*p.jitter()
	}
}

// Rejected says that the call's answer was invalid. A snapshot is asked for next: at once, unless it was a snapshot
// that was invalid.
func (p *Poller) Rejected(now float64) {
	snapshotRejected := p.needsSnapshot
	p.needsSnapshot = true
	p.inFlight = false
	if snapshotRejected {
		p.backOff(now)
		return
	}
	p.nextCallAt = now
}

// Failed says that the call brought no answer.
func (p *Poller) Failed(now float64) {
	p.inFlight = false
	p.backOff(now)
}

// HintedPolls is how many calls were made because a newer epoch had been seen.
func (p *Poller) HintedPolls() uint64 { return p.hintedPolls }

// hintedIntervalMs is the least time between two polls for reported epochs, in ms. It doubles while they bring nothing
// new, so that a client that names an epoch which does not exist cannot load the source.
func (p *Poller) hintedIntervalMs() float64 {
	least := p.options.MinIntervalMs
	doubled := least * float64(int(1)<<min(p.fruitless, maxDoublings))
	return min(doubled, max(least, p.options.BackoffMaxMs))
}

// backOff delays the next call after a failure: exponentially, with jitter.
func (p *Poller) backOff(now float64) {
	p.backoffMs = min(max(2*p.backoffMs, p.options.BackoffMinMs), p.options.BackoffMaxMs)
	p.nextCallAt = now + p.backoffMs*p.jitter()
}

// jitter is a random factor from 0.5 up to 1.
func (p *Poller) jitter() float64 { return 0.5 + 0.5*p.random.Float64() }
