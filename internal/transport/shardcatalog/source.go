package shardcatalog

import (
	"errors"
	"math"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// Sink applies the updates of the catalogue. An error means that the update was rejected as a whole.
type Sink interface {
	// ApplySnapshot replaces the map.
	ApplySnapshot(shardmap.Snapshot) error
	// ApplyChanges applies changes in order, all or none. backends are all that may hold shards; none allows any.
	ApplyChanges(changes []shardmap.Change, backends []string) error
	// Epoch is that of the map in use; 0 before the first snapshot.
	Epoch() uint64
}

// Options configure a Source. There are no defaults.
type Options struct {
	Address        string                 // host:port of the catalogue; also sent as the Host header
	MaxAnswerBytes int                    // largest body of an answer, in bytes; a longer one is malformed
	Poller         shardmap.PollerOptions // when the catalogue is called
	Seed           uint64                 // of the random delays
}

// Source polls a catalogue over one connection and delivers updates to a Sink, all on the event loop. It connects for
// the first call that has no connection, and keeps the connection for the calls that follow.
type Source struct {
	loop    *loop.Loop
	sink    Sink
	log     *logs.Log
	options Options
	poller  *shardmap.Poller
	timer   *loop.Timer
	closed  bool

	stream    *loop.Stream // nil without a connection
	connected bool         // the connection is established
	answers   int          // complete answers on this connection

	inFlight      bool    // a call is in flight on the connection
	deadlineMs    float64 // loop time by which the call must be answered or the connection established; infinite if none
	callTimeoutMs float64 // of the call, from when it is sent
	// sequence counts calls and answers. An answer that is parsed in another goroutine is dropped if the sequence has
	// moved on meanwhile.
	sequence int
}

var _ shardmap.Source = (*Source)(nil)

// NewSource makes a source that makes no call before Start.
func NewSource(eventLoop *loop.Loop, sink Sink, log *logs.Log, options Options) *Source {
	source := &Source{
		loop:       eventLoop,
		sink:       sink,
		log:        log,
		options:    options,
		poller:     shardmap.NewPoller(options.Poller, options.Seed),
		deadlineMs: math.Inf(1),
	}
	source.timer = eventLoop.NewTimer(source.step)
	return source
}

// Start begins to poll.
func (s *Source) Start() { s.step() }

// NewerEpochSeen reports that a backend or client has a map of this epoch; see shardmap.Poller.NewerEpochSeen.
func (s *Source) NewerEpochSeen(epoch uint64) {
	s.poller.NewerEpochSeen(s.loop.Now(), epoch)
	s.schedule()
}

// Close closes the connection and ends polling.
func (s *Source) Close() {
	s.closed = true
	s.disconnect(logs.Shutdown, nil)
	s.timer.Stop()
	s.deadlineMs = math.Inf(1)
}

// schedule sets the timer to when step has something to do.
func (s *Source) schedule() { s.timer.Set(min(s.deadlineMs, s.poller.NextAt())) }

// step fails a call that is past its deadline and makes the call that is due.
func (s *Source) step() {
	now := s.loop.Now()
	if s.inFlight && now >= s.deadlineMs {
		s.fail(logs.ShardMapTimeout, errors.New("no answer in time"))
	}
	if request, due := s.poller.Next(now); due {
		if request.CancelsPending {
			s.disconnect(logs.ShardMapWatchAborted, nil)
		}
		s.call(request)
	}
	s.schedule()
}

// fail ends the connection, and with it the call in flight, which the poller makes again after a delay.
func (s *Source) fail(code logs.Code, err error) {
	if s.stream == nil {
		s.log.ConnectionEnded(code, s.options.Address, 0, err)
	}
	s.disconnect(code, err)
	s.deadlineMs = math.Inf(1)
	s.poller.Failed(s.loop.Now())
	s.schedule()
}
