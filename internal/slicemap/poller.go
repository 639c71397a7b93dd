package slicemap

import "math"

const (
	wholeMost = 5000.0 // ms that the whole map may take
	deltaMost = 1000.0 // ms that changes may take, beyond the wait
)

// Poller decides when a source of the map is asked and for what: a watch that goes on, the whole map where a
// change could not be applied, a growing delay after failures, and one read at once, for all who tell of a
// newer map together. One call is out at a time. It has no clock and no I/O.
type Poller struct {
	o       PollerOptions
	rng     uint64
	epoch   uint64  // in use
	whole   bool    // the next call asks for the whole map
	out     bool    // a call is out
	waits   bool    // it may wait for news
	at      float64 // when the next call is due
	delay   float64
	hinted  uint64 // the newest epoch told of
	hintAt  float64
	lastHit float64
	vain    int // reads on hints in a row that brought nothing new
	reads   uint64
}

// NewPoller makes the follower of a source that is asked for the whole map first.
func NewPoller(o PollerOptions, seed uint64) *Poller {
	return &Poller{o: o, rng: seed, whole: true, hintAt: math.Inf(1), lastHit: math.Inf(-1)}
}

func (f *Poller) random() float64 {
	f.rng += 0x9e3779b97f4a7c15
	z := f.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// NextAt is when Next should be asked again.
func (f *Poller) NextAt() float64 {
	if f.out {
		return f.hintAt
	}
	return min(f.at, f.hintAt)
}

// Next is the call that is due, if one is; it is then out.
func (f *Poller) Next(now float64) (c PollRequest, due bool) {
	hurried := now >= f.hintAt && f.hinted > f.epoch
	if now >= f.hintAt {
		f.hintAt = math.Inf(1)
	}
	if f.out && !(hurried && f.waits) || !f.out && now < f.at && !hurried {
		return PollRequest{}, false
	}
	c = PollRequest{FullSnapshot: f.whole, SinceEpoch: f.epoch, WaitMs: f.o.WatchTimeoutMs, CancelsPending: f.out}
	if hurried {
		// What a node or a client knows the source knows: guards against a watch that has died unseen.
		c.WaitMs, f.lastHit = 0, now
		f.reads++
	}
	c.TimeoutMs = c.WaitMs + deltaMost
	if c.FullSnapshot {
		c.WaitMs, c.TimeoutMs = 0, wholeMost
	}
	f.out, f.waits = true, c.WaitMs > 0
	return c, true
}

// NewerEpochSeen tells that somebody knows a newer map. Hints of one moment lead to one read.
func (f *Poller) NewerEpochSeen(now float64, epoch uint64) {
	if epoch <= f.epoch || epoch <= f.hinted && !math.IsInf(f.hintAt, 1) {
		return
	}
	f.hinted = max(f.hinted, epoch)
	if math.IsInf(f.hintAt, 1) && !(f.out && !f.waits) {
		f.hintAt = max(now+f.o.JitterMs*f.random(), f.lastHit+f.rest())
	}
}

// Succeeded tells that the call brought what could be used, and the epoch now in use.
func (f *Poller) Succeeded(now float64, epoch uint64) {
	// A read on a hint that brought nothing new: the source is behind whoever told. Ask again, not at once.
	stale := !f.waits && epoch == f.epoch && f.hinted > epoch
	if stale {
		f.vain++
	} else if epoch > f.epoch {
		f.vain = 0
	}
	f.epoch, f.whole, f.out, f.delay, f.at = epoch, false, false, 0, now
	if f.hinted <= epoch {
		f.hintAt = math.Inf(1)
	}
	if stale {
		f.at = now + f.rest()*(0.5+0.5*f.random())
	}
}

// rest is the pause between two reads on hints. It doubles while they bring nothing: guards the catalogue,
// and the watch that each read ends, against a client that names an epoch which there is not.
func (f *Poller) rest() float64 {
	return min(f.o.MinIntervalMs*float64(int(1)<<min(f.vain, 10)), max(f.o.MinIntervalMs, f.o.BackoffMaxMs))
}

// Rejected tells that the call brought a map or a change that cannot be: the whole map is asked for, at once
// the first time.
func (f *Poller) Rejected(now float64) {
	again := f.whole
	f.whole = true
	if f.out = false; again {
		f.back(now)
		return
	}
	f.at = now
}

// Failed tells that the call came to nothing.
func (f *Poller) Failed(now float64) {
	f.out = false
	f.back(now)
}

// back puts the next call off: a growing, spread delay guards the source against a crowd once it is back.
func (f *Poller) back(now float64) {
	f.delay = min(max(2*f.delay, f.o.BackoffMinMs), f.o.BackoffMaxMs)
	f.at = now + f.delay*(0.5+0.5*f.random())
}

// HintedReads counts the reads that hints led to.
func (f *Poller) HintedReads() uint64 { return f.reads }
