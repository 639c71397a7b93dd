package catalog

import (
	"errors"
	"math"

	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/slicemap"
)

const (
	path     = "/catalog/slices"
	dialMost = 1000.0 // ms

	parseHere = 128 << 10 // bytes of an answer that are read on the loop
)

// Sink takes what the catalogue says. An error tells that it was refused, whole.
type Sink interface {
	ApplySnapshot(slicemap.Snapshot) error
	ApplyChanges(cs []slicemap.Change, nodes []string) error
	Epoch() uint64
}

// Options say where the catalogue is and how much it may say.
type Options struct {
	Address        string
	MaxAnswerBytes int // bytes of an answer
	Poller         slicemap.PollerOptions
	Seed           uint64
}

// Source follows a catalogue over one connection, on the loop.
type Source struct {
	loop   *loop.Loop
	sink   Sink
	log    *logs.Log
	o      Options
	follow *slicemap.Poller
	s      *loop.Stream
	up     bool
	out    bool    // a call is out on the connection
	by     float64 // until when it may take
	most   float64 // ms that it may take once it is sent
	served int
	calls  int // tells an answer that is still being read from one that was given up
	closed bool
	timer  *loop.Timer
}

var _ slicemap.Source = (*Source)(nil)

// NewSource makes a source that asks nothing until Start.
func NewSource(l *loop.Loop, sink Sink, log *logs.Log, o Options) *Source {
	s := &Source{loop: l, sink: sink, log: log, o: o, follow: slicemap.NewPoller(o.Poller, o.Seed),
		by: math.Inf(1)}
	s.timer = l.NewTimer(s.step)
	return s
}

// Start begins to follow.
func (s *Source) Start() { s.step() }

// NewerEpochSeen tells that a newer map is known somewhere.
func (s *Source) NewerEpochSeen(epoch uint64) {
	s.follow.NewerEpochSeen(s.loop.Now(), epoch)
	s.plan()
}

// Close ends the connection.
func (s *Source) Close() {
	s.closed = true
	s.drop(logs.Shutdown, nil)
	s.timer.Stop()
	s.by = math.Inf(1)
}

func (s *Source) plan() { s.timer.Set(min(s.by, s.follow.NextAt())) }

// step makes the call that is due, or gives up one that takes too long.
func (s *Source) step() {
	now := s.loop.Now()
	if s.out && now >= s.by {
		s.fail(logs.ShardMapTimeout, errors.New("no answer in time"))
	}
	if c, due := s.follow.Next(now); due {
		if c.CancelsPending {
			s.drop(logs.ShardMapWatchCut, nil)
		}
		s.call(c)
	}
	s.plan()
}
