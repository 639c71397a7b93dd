package main

import (
	"ternstage/internal/control/adminops"
	"ternstage/internal/control/listenerhandover"
	"ternstage/internal/core"
	"ternstage/internal/transport/flight"
	"ternstage/internal/transport/httpfront"
	"ternstage/internal/transport/loop"
)

// Times of the graceful shutdown, in milliseconds. The platform sends SIGKILL, at the earliest, killAfterDeadlineMs
// after the longest deadline of a class, counted from SIGTERM.
const (
	// minAcceptMs is the minimum time after SIGTERM in which new connections are accepted, as clients may not know of
	// the shutdown yet. It does not apply if a successor accepts on the same socket.
	minAcceptMs = 650.0
	// maxDeadlineMs is the maximum of longestDeadlineMs: a longer deadline does not delay SIGKILL further.
	maxDeadlineMs = 3000.0
	// killAfterDeadlineMs is the time between the longest deadline and SIGKILL.
	killAfterDeadlineMs = 700.0
	// answeredBeforeKillMs is the time before SIGKILL at which the last request must be answered.
	answeredBeforeKillMs = 150.0
	// closedBeforeKillMs is the time before SIGKILL at which the broker stops waiting for clients to close their idle
	// connections.
	closedBeforeKillMs = 80.0
	// exitMs is the time after SIGTERM at which the program exits even if requests or connections are open.
	exitMs = 60_000.0
	// closeIdleAfterMs is the time after SIGTERM until which idle connections stay open if a successor takes over the
	// listener. A connection that is used again earlier closes after its answer, so that no client loses a request
	// because its connection is closed at the same time.
	closeIdleAfterMs = 1000.0
	// shutdownPollMs is the interval between checks of the progress.
	shutdownPollMs = 10.0
)

// gracefulShutdown ends the program after SIGTERM. Clients use their connections for as long as these stay open, and
// the successor may not be running yet. Therefore the broker keeps accepting requests for as long as it can answer
// them before SIGKILL. Then it closes idle connections, answers all open requests and exits. A second SIGTERM is
// ignored. The methods of gracefulShutdown must be called on the event loop.
//
// The steps, in order:
//
//  1. The health check fails.
//  2. The admin API reports not ready, and the attempts sent to warming backends are handed over.
//  3. The deadline of open requests is capped.
//  4. After acceptMs, at the earliest, the listener and idle connections are closed.
//  5. The Flight front stops.
//  6. Once nothing is open, or after exitMs, the loop ends. serve then closes the connections, calls the closers in
//     reverse order and closes the log.
type gracefulShutdown struct {
	loop        *loop.Loop
	core        *core.Core
	front       *httpfront.Server
	flightFront *flight.Front           // nil if it is disabled or has stopped
	flightOffer *listenerhandover.Offer // nil unless its listener is offered to a successor
	control     *adminops.Control       // nil without an admin API
	pollTimer   *loop.Timer

	// longestDeadlineMs is the longest deadline of a class, but at most maxDeadlineMs. SIGKILL comes no earlier than
	// longestDeadlineMs + killAfterDeadlineMs after SIGTERM.
	longestDeadlineMs float64
	// acceptMs is the minimum time after SIGTERM in which new connections are accepted.
	acceptMs float64
	// hasSuccessor reports whether another process takes over the listener. Connections then close after an answer
	// that announces it.
	hasSuccessor bool

	beganAtMs      float64 // on the loop's clock; 0 before the shutdown
	flightStopping bool
}

// newGracefulShutdown prepares the shutdown of a broker after build. begin starts it.
func newGracefulShutdown(b *broker) *gracefulShutdown {
	s := &gracefulShutdown{
		loop:              b.loop,
		core:              b.core,
		front:             b.front,
		flightFront:       b.flightFront,
		flightOffer:       b.flightOffer,
		control:           b.control,
		longestDeadlineMs: min(b.config.Contracts.LongestDeadline(), maxDeadlineMs),
		acceptMs:          minAcceptMs,
	}
	if b.inheritsListener() {
		// The successor accepts on the same socket, so it takes the connections that wait there.
		s.acceptMs = 0
		s.hasSuccessor = true
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
	s.core.SetFinalAnswerDeadline(s.beganAtMs + s.longestDeadlineMs + killAfterDeadlineMs - answeredBeforeKillMs)
	s.poll()
}

// poll runs the steps of the shutdown that are due, and stops the loop after the last one.
func (s *gracefulShutdown) poll() {
	elapsedMs := s.loop.Now() - s.beganAtMs
	openConnections, serving := s.front.ConnectionCounts()
	if s.isAcceptOver(elapsedMs, openConnections) {
		s.closeFronts(elapsedMs)
		if serving == 0 && elapsedMs >= s.longestDeadlineMs+killAfterDeadlineMs-closedBeforeKillMs {
			openConnections = 0 // does not wait any longer for clients to close idle connections
		}
		if s.isDone(openConnections) || elapsedMs >= exitMs {
			s.loop.Stop()
			return
		}
	}
	s.pollTimer.Set(s.loop.Now() + shutdownPollMs)
}

// isAcceptOver reports whether the broker stops accepting. It does so when a new request might not be answered before
// SIGKILL. It does so earlier, but not before acceptMs, if no client is connected or the successor accepts.
func (s *gracefulShutdown) isAcceptOver(elapsedMs float64, openConnections int) bool {
	if elapsedMs >= max(s.longestDeadlineMs, s.acceptMs) {
		return true
	}
	return elapsedMs >= s.acceptMs && (openConnections == 0 || s.hasSuccessor)
}

// closeFronts closes the listener, idle connections if they are due, and the Flight front.
func (s *gracefulShutdown) closeFronts(elapsedMs float64) {
	s.front.StopListening()
	if !s.hasSuccessor || elapsedMs >= closeIdleAfterMs {
		s.front.CloseIdle()
	}
	if s.flightFront != nil && !s.flightStopping {
		s.stopFlight()
	}
}

// stopFlight stops the Flight front. A successor may have its listener.
func (s *gracefulShutdown) stopFlight() {
	s.flightStopping = true
	if s.flightOffer != nil {
		s.flightOffer.Close()
	}
	s.flightFront.Stop(func() { s.flightFront = nil })
}

// isDone reports whether all requests are answered and all connections of clients are closed.
func (s *gracefulShutdown) isDone(openConnections int) bool {
	return s.core.OpenRequests() == 0 && s.flightFront == nil && openConnections == 0
}
