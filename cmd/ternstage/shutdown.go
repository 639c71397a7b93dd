package main

import (
	"ternstage/internal/control/adminops"
	"ternstage/internal/core"
	"ternstage/internal/transport/flight"
	"ternstage/internal/transport/httpfront"
	"ternstage/internal/transport/loop"
)

// Times of the graceful shutdown, in milliseconds. The platform sends SIGKILL, at the earliest, killAfterDeadlineMs
// after the longest deadline of a class, counted from SIGTERM.
const (
	// acceptMs is the time after SIGTERM in which new connections are accepted: clients may not know of it yet.
	acceptMs = 650.0
	// maxKillDelayMs: a longer deadline of a class does not put off SIGKILL further.
	maxKillDelayMs = 3000.0
	// killAfterDeadlineMs is how long after the longest deadline SIGKILL comes.
	killAfterDeadlineMs = 700.0
	// answeredBeforeKillMs is how long before SIGKILL the last request has its answer.
	answeredBeforeKillMs = 150.0
	// closedBeforeKillMs is how long before SIGKILL the broker no longer waits for clients to close their connections.
	closedBeforeKillMs = 80.0
	// exitMs is the time after SIGTERM by which the program exits whatever is open.
	exitMs = 60_000.0
	// closeIdleAfterMs is the time after SIGTERM until which idle connections stay open where another process takes
	// over the listener. Until then a connection that is used again ends with its answer, so that no client finds its
	// connection closed under a request.
	closeIdleAfterMs = 1000.0
	// shutdownPollMs is how often the progress is checked.
	shutdownPollMs = 10.0
)

// gracefulShutdown ends the program after SIGTERM. Clients use the connections that they have for as long as these stay
// open, and the process that takes over may not be up yet: the broker serves for as long as what it accepts can be
// answered before SIGKILL, then closes what is idle, answers all that is open and exits. Its methods are called on the
// event loop. A second SIGTERM is ignored.
//
// In order: health says no; the admin API says not ready and the slow-start sends are handed over; the deadline of
// open requests is capped; after acceptMs the listener closes and idle connections end; the Flight front stops; once
// nothing is open, or after exitMs, the loop ends, and serve closes connections, the closers in reverse, and the log.
type gracefulShutdown struct {
	loop        *loop.Loop
	core        *core.Core
	front       *httpfront.Server
	flightFront *flight.Front     // nil where it is switched off, and once it has stopped
	control     *adminops.Control // nil where there is no admin API
	pollTimer   *loop.Timer

	// killDelayMs is the longest deadline of a class, as far as it puts off SIGKILL.
	killDelayMs float64
	// acceptMs is the time after SIGTERM in which connections are accepted.
	acceptMs float64
	// handsOver reports whether another process takes over the listener: connections are left to end by the answers that
	// say so.
	handsOver bool

	beganAtMs      float64 // on the loop's clock; 0 before
	flightStopping bool
}

// newGracefulShutdown prepares the shutdown of a broker that is built. begin starts it.
func newGracefulShutdown(b *broker) *gracefulShutdown {
	s := &gracefulShutdown{
		loop:        b.loop,
		core:        b.core,
		front:       b.front,
		flightFront: b.flightFront,
		control:     b.control,
		killDelayMs: min(b.config.Contracts.LongestDeadline(), maxKillDelayMs),
		acceptMs:    acceptMs,
	}
	if b.inheritsListener() {
		// The successor accepts on the same socket: connections that wait in it are left to it.
		s.acceptMs = 0
		s.handsOver = true
	}
	s.pollTimer = b.loop.NewTimer(s.poll)
	return s
}

// begin starts the shutdown. A repeated call does nothing.
func (s *gracefulShutdown) begin() {
	if s.beganAtMs != 0 {
		return
	}
	s.beganAtMs = s.loop.Now()
	s.front.BeginShutdown()
	if s.control != nil {
		s.control.Stop()
	}
	s.core.SetFinalAnswerDeadline(s.beganAtMs + s.killDelayMs + killAfterDeadlineMs - answeredBeforeKillMs)
	s.poll()
}

// poll takes the next step of the shutdown, if it is due, and stops the loop after the last.
func (s *gracefulShutdown) poll() {
	elapsedMs := s.loop.Now() - s.beganAtMs
	open, serving := s.front.ConnectionCounts()
	if s.acceptEnded(elapsedMs, open) {
		s.closeFronts(elapsedMs)
		if serving == 0 && elapsedMs >= s.killDelayMs+killAfterDeadlineMs-closedBeforeKillMs {
			open = 0 // clients that do not close idle connections are not waited for
		}
		if s.done(open) || elapsedMs >= exitMs {
			s.loop.Stop()
			return
		}
	}
	s.pollTimer.Set(s.loop.Now() + shutdownPollMs)
}

// acceptEnded reports whether nothing more is accepted: what came now might not be answered before SIGKILL, or no
// client is left, or the successor accepts.
func (s *gracefulShutdown) acceptEnded(elapsedMs float64, open int) bool {
	if elapsedMs >= max(s.killDelayMs, s.acceptMs) {
		return true
	}
	return elapsedMs >= s.acceptMs && (open == 0 || s.handsOver)
}

func (s *gracefulShutdown) closeFronts(elapsedMs float64) {
	s.front.StopListening()
	if !s.handsOver || elapsedMs >= closeIdleAfterMs {
		s.front.CloseIdle()
	}
	if s.flightFront != nil && !s.flightStopping {
		s.flightStopping = true
		s.flightFront.Stop(func() { s.flightFront = nil })
	}
}

// done reports whether all requests are answered and all connections of clients closed.
func (s *gracefulShutdown) done(open int) bool {
	return s.core.OpenRequests() == 0 && s.flightFront == nil && open == 0
}
