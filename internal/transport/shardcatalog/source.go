package shardcatalog

import (
	"errors"
	"math"

	"ternstage/internal/decision/shardmap"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

// Sink applies updates from the catalogue. An error means that the whole update was rejected.
type Sink interface {
	// ApplySnapshot replaces the map by a snapshot.
	ApplySnapshot(shardmap.Snapshot) error
	// ApplyChanges applies changes in order, all or none. backends are the only backends that may hold shards; if it
	// is empty, any backend may.
	ApplyChanges(changes []shardmap.Change, backends []string) error
	// Epoch returns the epoch of the current map; 0 before the first snapshot.
	Epoch() uint64
}

// Options configure a Source. There are no defaults.
type Options struct {
	Address        string                 // host:port of the catalogue; also sent as the Host header
	MaxAnswerBytes int                    // maximum size of an answer's body; a larger one is malformed
	Poller         shardmap.PollerOptions // intervals and timeouts of the calls
	Seed           uint64                 // seed of the random delays
}

// Source polls a catalogue over one connection and delivers updates to a Sink, all on the event loop. It opens a
// connection for a call if there is none, and keeps it open for the calls that follow.
type Source struct {
	loop    *loop.Loop
	sink    Sink
	log     *logs.Log
	options Options
	poller  *shardmap.Poller
	timer   *loop.Timer
	closed  bool

	stream        *loop.Stream // nil without a connection
	connected     bool         // the connection is established
	answeredCalls int          // on this connection

	inFlight bool // a call is in flight on the connection
	// deadlineMs is the loop time by which the call must be answered or the connection established; infinite while
	// nothing is awaited.
	deadlineMs    float64
	callTimeoutMs float64 // timeout of the call, counted from when it is sent
	// sequence counts calls and answers. An answer that is parsed in another goroutine is dropped if the sequence has
	// changed meanwhile.
	sequence int
}

var _ shardmap.Source = (*Source)(nil)

// NewSource returns a Source that makes no call before Start.
func NewSource(eventLoop *loop.Loop, sink Sink, log *logs.Log, options Options) *Source {
	source := &Source{
		loop:       eventLoop,
		sink:       sink,
		log:        log,
		options:    options,
		poller:     shardmap.NewPoller(options.Poller, options.Seed),
		deadlineMs: math.Inf(1),
	}
	source.timer = eventLoop.NewTimer(source.runDue)
	return source
}

// Start starts polling.
func (s *Source) Start() { s.runDue() }

// NewerEpochSeen records that a backend or client has a map of this epoch; see shardmap.Poller.NewerEpochSeen.
func (s *Source) NewerEpochSeen(epoch uint64) {
	s.poller.NewerEpochSeen(s.loop.Now(), epoch)
	s.setTimer()
}

// Close closes the connection and stops polling.
func (s *Source) Close() {
	s.closed = true
	s.disconnect(logs.Shutdown, nil)
	s.timer.Stop()
	s.deadlineMs = math.Inf(1)
}

// setTimer sets the timer to the time at which runDue has to run next.
func (s *Source) setTimer() { s.timer.Set(min(s.deadlineMs, s.poller.NextAt())) }

// runDue fails a call that is past its deadline, and starts a call that is due.
func (s *Source) runDue() {
	now := s.loop.Now()
	if s.inFlight && now >= s.deadlineMs {
		s.failCall(logs.ShardMapTimeout, errors.New("no answer in time"))
	}
	if request, due := s.poller.Next(now); due {
		if request.CancelsPending {
			s.disconnect(logs.ShardMapWatchAborted, nil)
		}
		s.beginCall(request)
	}
	s.setTimer()
}

// failCall closes the connection, which ends the call in flight. The poller repeats the call after a delay.
func (s *Source) failCall(code logs.Code, err error) {
	if s.stream == nil {
		s.log.ConnectionEnded(code, s.options.Address, 0, err)
	}
	s.disconnect(code, err)
	s.deadlineMs = math.Inf(1)
	s.poller.Failed(s.loop.Now())
	s.setTimer()
}
