package catalog

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"golang.org/x/sys/unix"

	"ternstage/internal/httpanswer"
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

func (s *Source) plan() { s.timer.Set(min(s.by, s.follow.At())) }

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

func (s *Source) call(c slicemap.PollRequest) {
	now := s.loop.Now()
	s.by, s.most = now+c.Timeout, c.Timeout
	if s.s == nil {
		fd, err := loop.Connect(s.o.Address)
		if err == nil {
			s.s, err = loop.NewStream(s.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, s)
		}
		if err != nil {
			s.fail(logs.ShardMapConnectFailed, err)
			return
		}
		s.up = false
		s.by = now + dialMost
	}
	target := path
	if !c.FullSnapshot {
		target = fmt.Sprintf("%s?index=%d&wait=%d", path, c.SinceEpoch, int(c.Wait))
	}
	s.out = true
	s.calls++ // what is still being read of an older one counts for nothing
	s.s.Out = append(s.s.Out, "GET "+target+" HTTP/1.1\r\nHost: "+s.o.Address+"\r\n\r\n"...)
	s.write()
}

func (s *Source) write() {
	if !s.up {
		return
	}
	if err := s.s.Flush(); err != nil {
		s.fail(logs.ShardMapReset, err)
		return
	}
	want := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(s.s.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	s.s.SetEvents(want)
}

// Ready implements loop.Handler.
func (s *Source) Ready(events uint32) {
	defer s.plan()
	if !s.up {
		if err := loop.SocketError(s.s.FD); err != nil {
			s.fail(logs.ShardMapConnectFailed, err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		s.up = true
		s.by = s.loop.Now() + s.most
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		eof, err := s.s.Read(s.o.MaxAnswerBytes + 16<<10)
		at := s.s
		if s.answer(eof); s.s != at {
			return
		}
		switch {
		case err != nil:
			s.fail(logs.ShardMapReset, err)
			return
		case eof && s.out:
			s.fail(logs.ShardMapClosed, nil)
			return
		case eof:
			s.drop(logs.ShardMapClosed, nil)
			return
		}
	}
	s.write()
}

// answer takes a whole answer, and goes on with the next call. ended tells that the other side has closed.
func (s *Source) answer(ended bool) {
	response, err := httpanswer.Parse(s.s.In, s.o.MaxAnswerBytes, ended)
	if err == nil && !response.Complete() {
		if len(s.s.In) >= s.o.MaxAnswerBytes+16<<10 {
			s.fail(logs.ShardMapMalformed, fmt.Errorf("answer over %d bytes", s.o.MaxAnswerBytes))
		}
		return
	}
	if err == nil && !s.out {
		err = errors.New("an answer to no call")
	}
	if err == nil && response.Status != 200 {
		err = fmt.Errorf("status %d", response.Status)
	}
	if err != nil {
		s.fail(logs.ShardMapMalformed, err)
		return
	}
	s.calls++
	if len(response.Body) <= parseHere {
		w, cs, nodes, err := Parse(response.Body)
		s.took(response.Size, response.Last)
		s.take(w, cs, nodes, err)
		return
	}
	// A map of 100,000 slices takes 0.2 s to read: no request waits for that.
	text, call := slices.Clone(response.Body), s.calls
	s.took(response.Size, response.Last)
	go func() {
		w, cs, nodes, err := Parse(text)
		s.loop.Post(func() {
			if call == s.calls && !s.closed {
				s.take(w, cs, nodes, err)
			}
		})
	}()
}

// took ends a call whose answer has come whole.
func (s *Source) took(size int, last bool) {
	s.s.Consume(size)
	s.out, s.by = false, math.Inf(1)
	s.served++
	if last {
		s.drop(logs.ShardMapClosed, nil)
	}
}

// take hands what was read on, and goes on with the next call.
func (s *Source) take(w *slicemap.Snapshot, cs []slicemap.Change, nodes []string, err error) {
	switch {
	case err != nil:
	case w != nil:
		err = s.sink.ApplySnapshot(*w)
	default:
		err = s.sink.ApplyChanges(cs, nodes)
	}
	now := s.loop.Now()
	if err != nil {
		// The map in use stays. One line names the first fault; the whole map is asked for.
		s.log.Rejected(logs.ShardMapRejected, "map refused", err)
		s.follow.Refused(now)
	} else {
		s.follow.Succeeded(now, s.sink.Epoch())
	}
	s.step()
}

// drop closes the connection.
func (s *Source) drop(code logs.Code, err error) {
	if s.s != nil {
		s.s.Close()
		s.s, s.up, s.out = nil, false, false
		s.log.ConnectionEnded(code, s.o.Address, s.served, err)
		s.served = 0
	}
}

// fail ends a call that came to nothing.
func (s *Source) fail(code logs.Code, err error) {
	if s.s == nil {
		s.log.ConnectionEnded(code, s.o.Address, 0, err)
	}
	s.drop(code, err)
	s.by = math.Inf(1)
	s.follow.Failed(s.loop.Now())
	s.plan()
}
