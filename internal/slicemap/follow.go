package slicemap

import "math"

// FollowOptions are the times of following a source, in ms.
type FollowOptions struct {
	Wait   float64 // of one watch call
	Spread float64 // a read on a hint comes up to so much later, so that brokers do not come together
	Rest   float64 // between two reads on hints at least
	Least  float64 // first delay after a failed call; it doubles
	Most   float64 // to this
}

// DefaultFollow is what holds where the operators state nothing.
var DefaultFollow = FollowOptions{Wait: 20_000, Spread: 50, Rest: 250, Least: 100, Most: 4000}

// Call is what a source is to be asked.
type Call struct {
	Whole bool    // the whole map; else what changed since Index
	Index uint64  // the epoch in use
	Wait  float64 // ms that the source may wait for news; 0: it answers at once
	Most  float64 // ms after which the call has failed
	Cut   bool    // a call is out: it is given up for this one
}

const (
	wholeMost = 5000.0 // ms that the whole map may take
	deltaMost = 1000.0 // ms that changes may take, beyond the wait
)

// Source is where the map comes from: it follows something outside and hands maps and changes on, all on the
// loop.
type Source interface {
	// Start begins to follow.
	Start()
	// Hint tells that a map of this epoch is known somewhere. Hints of one moment lead to one read.
	Hint(epoch uint64)
	// Close ends it.
	Close()
}

// Follow decides when a source of the map is asked and for what: a watch that goes on, the whole map where a
// change could not be applied, a growing delay after failures, and one read at once, for all who tell of a
// newer map together. One call is out at a time. It has no clock and no I/O.
type Follow struct {
	o       FollowOptions
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

// NewFollow makes the follower of a source that is asked for the whole map first.
func NewFollow(o FollowOptions, seed uint64) *Follow {
	return &Follow{o: o, rng: seed, whole: true, hintAt: math.Inf(1), lastHit: math.Inf(-1)}
}

func (f *Follow) random() float64 {
	f.rng += 0x9e3779b97f4a7c15
	z := f.rng
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}

// At is when Next should be asked again.
func (f *Follow) At() float64 {
	if f.out {
		return f.hintAt
	}
	return min(f.at, f.hintAt)
}

// Next is the call that is due, if one is; it is then out.
func (f *Follow) Next(now float64) (c Call, due bool) {
	hurried := now >= f.hintAt && f.hinted > f.epoch
	if now >= f.hintAt {
		f.hintAt = math.Inf(1)
	}
	if f.out && !(hurried && f.waits) || !f.out && now < f.at && !hurried {
		return Call{}, false
	}
	c = Call{Whole: f.whole, Index: f.epoch, Wait: f.o.Wait, Cut: f.out}
	if hurried {
		// What a node or a client knows the source knows: guards against a watch that has died unseen.
		c.Wait, f.lastHit = 0, now
		f.reads++
	}
	c.Most = c.Wait + deltaMost
	if c.Whole {
		c.Wait, c.Most = 0, wholeMost
	}
	f.out, f.waits = true, c.Wait > 0
	return c, true
}

// Hint tells that somebody knows a newer map. Hints of one moment lead to one read.
func (f *Follow) Hint(now float64, epoch uint64) {
	if epoch <= f.epoch || epoch <= f.hinted && !math.IsInf(f.hintAt, 1) {
		return
	}
	f.hinted = max(f.hinted, epoch)
	if math.IsInf(f.hintAt, 1) && !(f.out && !f.waits) {
		f.hintAt = max(now+f.o.Spread*f.random(), f.lastHit+f.rest())
	}
}

// Answered tells that the call brought what could be used, and the epoch now in use.
func (f *Follow) Answered(now float64, epoch uint64) {
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
func (f *Follow) rest() float64 {
	return min(f.o.Rest*float64(int(1)<<min(f.vain, 10)), max(f.o.Rest, f.o.Most))
}

// Refused tells that the call brought a map or a change that cannot be: the whole map is asked for, at once
// the first time.
func (f *Follow) Refused(now float64) {
	again := f.whole
	f.whole = true
	if f.out = false; again {
		f.back(now)
		return
	}
	f.at = now
}

// Failed tells that the call came to nothing.
func (f *Follow) Failed(now float64) {
	f.out = false
	f.back(now)
}

// back puts the next call off: a growing, spread delay guards the source against a crowd once it is back.
func (f *Follow) back(now float64) {
	f.delay = min(max(2*f.delay, f.o.Least), f.o.Most)
	f.at = now + f.delay*(0.5+0.5*f.random())
}

// Reads counts the reads that hints led to.
func (f *Follow) Reads() uint64 { return f.reads }
