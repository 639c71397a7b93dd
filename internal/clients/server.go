package clients

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/contract"
	"ternstage/internal/core"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// Core is what the front asks of core.
type Core interface {
	Submit(*core.Request) error
	ClientDisconnected(*core.Request)
}

const (
	maxIn = maxHead + maxBody + 8<<10 // bytes a connection holds unparsed; 8 KiB for the sizes of chunks

	maxOut = 64 << 10 // bytes of answers that wait for the client, over which no more requests are read

	wholeMost  = 2000.0 // ms for a request to come whole, from its first byte, the first from the connect on
	idleMost   = 5000.0 // ms between requests; the client opens a new connection when it needs one
	takeMost   = 2000.0 // ms that a client may leave its answer unread
	lingerMost = 500.0  // ms in which what a client still sends is thrown away behind our end
	crowdRest  = 1000.0 // ms after which who found no memory may come again
	lingerRead = 1 << 20
	answerWay  = 100.0 // ms in which a last answer has come to its client
	restMost   = 300.0 // ms for the rest of a request that has begun to come when the program ends
	acceptRest = 50.0  // ms without accepting after EMFILE: guards against a spin
	tendEvery  = 200.0
	acceptMost = 256 // connections taken in one wake-up
)

// Server is the HTTP front.
type Server struct {
	loop     *loop.Loop
	core     Core
	book     *contract.Contracts
	log      *logs.Log
	ready    func() bool
	most     int
	budget   int // bytes that all connections may hold
	held     int // bytes that they do
	fd       int
	kept     bool // the listener is the platform's, which keeps it across processes
	conns    map[*conn]struct{}
	timer    *loop.Timer // looks after slow clients
	again    *loop.Timer // accepts again
	draining bool        // health says no: the program ends
	away     bool        // health says no: the operators have the clients sent away
	endingAt float64     // since when every answer is the last of its connection as the program ends; 0 before
	closing  bool        // so, while clients are sent away
	onIdle   func()
	pages    map[string]func() []byte
}

// Options are the limits of the front.
type Options struct {
	MaxConnections   int                      // connections
	MaxBufferedBytes int                      // of requests and answers on them, at any moment
	Pages            map[string]func() []byte // further paths that show something, as JSON, and who writes it

	// InheritedFD is a listening socket that the process was given, used in place of one on the address; 0 or
	// less for none (descriptor 0 is never one).
	InheritedFD int
}

// NewServer listens. ready tells whether the program serves.
func NewServer(l *loop.Loop, c Core, b *contract.Contracts, log *logs.Log, address string, o Options,
	ready func() bool) (*Server, error) {
	fd, err := o.InheritedFD, error(nil)
	if fd > 0 {
		var at string
		if at, err = loop.Inherit(fd); err == nil && at != address {
			log.Info("the inherited listener is not on the address", zap.String("listen", address),
				zap.String("inherited", at), zap.Int("fd", fd))
		}
	} else {
		fd, err = loop.Listen(address)
	}
	if err != nil {
		return nil, err
	}
	s := &Server{loop: l, core: c, book: b, log: log, ready: ready, most: max(o.MaxConnections, 1), budget: o.MaxBufferedBytes,
		fd: fd, kept: o.InheritedFD > 0, conns: map[*conn]struct{}{}, pages: o.Pages}
	s.timer, s.again = l.NewTimer(s.tend), l.NewTimer(s.accept)
	if err := l.Add(fd, unix.EPOLLIN, s); err != nil {
		return nil, err
	}
	s.timer.Set(l.Now() + tendEvery)
	return s, nil
}

// Ready implements loop.Handler: connections wait to be taken.
func (s *Server) Ready(uint32) { s.accept() }

func (s *Server) accept() {
	if s.fd < 0 {
		return
	}
	if s.kept {
		// Whether a shared socket blocks is a flag that every process holding it may set back, and a blocking
		// accept on a queue that another process emptied would hold the loop: it is set again each time.
		_ = unix.SetNonblock(s.fd, true)
	}
	for range acceptMost {
		if len(s.conns) >= s.most && !s.FreeDescriptor() {
			s.rest()
			return
		}
		fd, err := loop.Accept(s.fd)
		switch {
		case err == nil:
			s.take(fd)
		case errors.Is(err, unix.EAGAIN):
			s.loop.SetEvents(s.fd, unix.EPOLLIN)
			return
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
		default: // EMFILE and its like
			if !s.FreeDescriptor() {
				s.rest()
				return
			}
		}
	}
	s.loop.SetEvents(s.fd, unix.EPOLLIN)
}

// rest stops accepting for a while; waiting connections stay in the kernel's queue.
func (s *Server) rest() {
	s.loop.SetEvents(s.fd, 0)
	s.again.Set(s.loop.Now() + acceptRest)
}

func (s *Server) take(fd int) {
	c := &conn{server: s, peer: peerOf(fd), since: s.loop.Now(), began: s.loop.Now()}
	stream, err := loop.NewStream(s.loop, fd, unix.EPOLLIN|unix.EPOLLRDHUP, c)
	if err != nil {
		s.log.ConnectionEnded(logs.ClientNoDescriptor, c.peer, 0, err)
		return
	}
	c.s = stream
	s.conns[c] = struct{}{}
}

// FreeDescriptor closes the connection that can best be spared, for a descriptor: one that we ended a while ago,
// then the one that has stood idle longest and on which nothing has come, then one whose last answer is still
// on its way. A client opens a new one when it needs one. It hands nothing in, so that it may be called from
// within a decision. False if there is none.
func (s *Server) FreeDescriptor() bool {
	var spare []*conn
	for c := range s.conns {
		if c.ends != "" || c.quiet() {
			spare = append(spare, c)
		}
	}
	rank := func(c *conn) int {
		switch {
		case c.ends == "":
			return 1
		case s.loop.Now()-c.since < answerWay:
			return 2
		}
		return 0
	}
	slices.SortFunc(spare, func(a, b *conn) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.since, b.since))
	})
	for _, c := range spare {
		if c.ends != "" || !c.s.HasUnread() {
			c.close(logs.ClientEvicted, nil)
			return true
		}
	}
	return false
}

// tend ends what takes too long: guards descriptors and memory against clients that say nothing, send half a
// request or leave their answer unread. An error or a close is owed to those within 3 s.
func (s *Server) tend() {
	now := s.loop.Now()
	for c := range s.conns {
		age := now - c.since
		switch {
		case c.ends != "":
			if age > lingerMost {
				c.close(c.ends, nil)
			}
		case c.open != nil:
		case len(c.s.Out) > 0:
			if age > takeMost {
				c.close(logs.ClientRequestTimeout, nil)
			}
		case len(c.s.In) > 0:
			if now-c.began > wholeMost {
				c.late = true
				c.reject(408, errSlow)
				c.write()
			}
		case c.served == 0 && age > wholeMost:
			c.linger(logs.ClientNoRequest)
		case age > idleMost:
			c.linger(logs.ClientEvicted)
		}
	}
	s.timer.Set(now + tendEvery)
}

// BeginShutdown tells who asks that the program no longer serves; those who have connections are served on.
func (s *Server) BeginShutdown() { s.draining = true }

// SetDraining has health say no, or yes again, while the program serves on: the front stops sending new
// connections, and those that clients have are served.
func (s *Server) SetDraining(on bool) { s.away = on }

// CanServe tells whether the program could serve: it knows what it has to, and does not end.
func (s *Server) CanServe() bool { return s.ready() && !s.draining }

// Healthy is what health says.
func (s *Server) Healthy() bool { return s.CanServe() && !s.away }

// CloseAfterResponse makes every answer from now on the last of its connection, or ends that; the listener stays.
func (s *Server) CloseAfterResponse(on bool) { s.closing = on }

// StopListening takes what the kernel has accepted for us, closes the listener, and makes every answer from
// now on the last of its connection. A listener that the platform keeps is left with what waits in it, for
// the process that takes over.
func (s *Server) StopListening() {
	if s.fd < 0 {
		return
	}
	if !s.kept {
		s.accept()
	}
	s.loop.Close(s.fd)
	s.fd, s.endingAt = -1, s.loop.Now()
	s.again.Stop()
}

// CloseIdle ends connections between requests, after a last look at what has come on them. A request that a
// client writes to one at that moment is not read, and the client asks again elsewhere: a connection that is
// used again is ended by the answer that says so, and only one that stays idle needs this. As the program
// ends, a request of which the rest does not come is refused.
func (s *Server) CloseIdle() {
	now := s.loop.Now()
	for c := range s.conns {
		if c.quiet() {
			c.Ready(unix.EPOLLIN)
		}
		switch {
		case c.closed:
		case c.quiet():
			c.linger(logs.Shutdown)
		case c.halfRead() && s.endingAt > 0 && now > max(c.began, s.endingAt)+restMost:
			c.reject(503, errEnding)
			c.write()
		}
	}
}

// ConnectionCounts is how many connections there are, and how many of them we have not ended.
func (s *Server) ConnectionCounts() (all, serving int) {
	for c := range s.conns {
		if c.ends == "" {
			serving++
		}
	}
	return len(s.conns), serving
}

// Close closes what is open, at the end of the program.
func (s *Server) Close() {
	for c := range s.conns {
		c.close(logs.Shutdown, nil)
	}
}

// conn is a client's connection.
type conn struct {
	server    *Server
	s         *loop.Stream
	peer      string
	open      *core.Request // the request being answered; the next ones wait in the buffer
	reading   int           // bytes in the buffer of the request that is just being taken
	last      bool          // the connection ends once all is written; what still comes is thrown away
	ended     bool          // the client has ended its side
	closed    bool
	more      bool      // read-ahead requests are about to be parsed
	cont      bool      // 100 Continue has been sent for the request that is coming
	malformed error     // why it was rejected
	late      bool      // its request did not come whole in time
	ends      logs.Code // why we have ended our side; empty before. What still comes is thrown away
	parser    parser
	served    int
	thrown    int     // bytes thrown away
	held      int     // bytes that the server counts for it
	began     float64 // when the request that is coming began; at first the connect
	since     float64 // of the last answer, or of the connect
}

// quiet tells that nothing is under way on the connection.
func (c *conn) quiet() bool {
	return c.open == nil && len(c.s.In) == 0 && len(c.s.Out) == 0 && c.ends == "" && !c.closed
}

// halfRead tells that nothing is under way but a request that has not come whole.
func (c *conn) halfRead() bool {
	return c.open == nil && len(c.s.In) > 0 && len(c.s.Out) == 0 && c.ends == "" && !c.more
}

// Ready implements loop.Handler.
func (c *conn) Ready(events uint32) {
	if c.ends != "" {
		c.discard()
		return
	}
	if events&(unix.EPOLLERR|unix.EPOLLHUP) != 0 && events&unix.EPOLLIN == 0 {
		c.gone(loop.SocketError(c.s.FD))
		return
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP) != 0 && !c.ended {
		if len(c.s.In) == 0 && c.served > 0 {
			c.began = c.server.loop.Now()
		}
		eof, err := c.read()
		if err != nil {
			c.gone(err)
			return
		}
		c.ended = eof
		if c.parse(); c.closed {
			return
		}
		if eof && c.finish() {
			return
		}
	}
	c.write()
}

// read takes what has come; eof tells that the client has ended its side. What comes behind an open request
// is held up to a bound: beyond it that request is the connection's last, and the rest is thrown away. Guards
// memory against floods, and the nodes against work for a client whose end stands unread behind one.
func (c *conn) read() (eof bool, err error) {
	if !c.last {
		eof, err = c.s.Read(maxIn)
		if eof || err != nil || c.open == nil || len(c.s.In) < maxIn {
			return eof, err
		}
		c.last, c.s.In = true, nil
	}
	_, eof, err = c.s.DiscardInput()
	return eof, err
}

// finish deals with the end of the client's side; true if the connection has ended. A client that ends its
// side while a request is open has gone: that it closed cannot be told from an end of its sending alone.
func (c *conn) finish() bool {
	switch {
	case c.open != nil:
		c.gone(nil)
	case len(c.s.Out) == 0:
		c.close(logs.ClientLeftIdle, nil)
	default:
		c.last = true
		return false
	}
	return true
}

// gone ends a connection that its client has left.
func (c *conn) gone(err error) {
	code := logs.ClientLeftIdle
	if r := c.open; r != nil {
		c.open, code = nil, logs.ClientLeftRequest
		c.server.core.ClientDisconnected(r)
	}
	c.close(code, err)
}

// parse takes the next request, if none is being answered and the client reads what it is answered.
func (c *conn) parse() {
	for c.open == nil && !c.last && !c.closed && len(c.s.In) > 0 && len(c.s.Out) < maxOut {
		m, size, err := c.parser.next(c.s.In)
		switch {
		case err != nil:
			status := 400
			if errors.Is(err, errTooLarge) {
				status = 413
			} else if errors.Is(err, errHead) {
				status = 431
			}
			c.reject(status, err)
			return
		case size == 0:
			if len(c.s.In) >= maxIn {
				c.reject(413, errTooLarge)
			} else if c.server.held > c.server.budget {
				c.reject(503, errCrowded)
			} else if m := c.parser.m; m != nil && m.expect && !c.cont {
				c.cont = true
				c.s.Out = append(c.s.Out, "HTTP/1.1 100 Continue\r\n\r\n"...)
			}
			return
		}
		c.cont, c.reading = false, size
		c.serve(m)
		if c.reading = 0; c.closed || c.malformed != nil {
			return // a rejected request has emptied the buffer: guards against consuming it twice
		}
		c.s.Consume(size)
		c.began = c.server.loop.Now()
	}
}

// reject answers what cannot be read on from, and closes.
func (c *conn) reject(status int, err error) {
	c.s.In, c.reading, c.malformed = nil, 0, err
	r := response{status: status, body: errorBody(err), close: true}
	if status == 503 {
		r.retryAfter = crowdRest
	}
	c.reply(r)
}

func (c *conn) write() {
	if c.closed || c.ends != "" {
		return
	}
	for again := true; again; {
		if err := c.s.Flush(); err != nil {
			c.gone(err)
			return
		}
		// What was read ahead may have waited for the client to take its answers.
		if again = len(c.s.Out) == 0 && len(c.s.In) > 0 && c.open == nil && !c.more && !c.last; again {
			held := len(c.s.In)
			if c.parse(); c.closed {
				return
			}
			again = len(c.s.In) < held || len(c.s.Out) > 0
		}
	}
	c.count()
	if len(c.s.Out) == 0 && c.open == nil && !c.more && (c.last || c.ended) {
		c.linger(logs.ClientClosed)
		return
	}
	// Only so much is read ahead: guards memory against endless pipelining. With an open request there is
	// always more to read, as its client may go.
	want := uint32(0)
	if (len(c.s.In) < maxIn && len(c.s.Out) < maxOut || c.last) && !c.ended {
		want = unix.EPOLLIN | unix.EPOLLRDHUP
	}
	if len(c.s.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	c.s.SetEvents(want)
}

// count brings the server's count of bytes held up to date.
func (c *conn) count() {
	n := 0
	if !c.closed {
		n = cap(c.s.In) + cap(c.s.Out)
	}
	c.server.held += n - c.held
	c.held = n
}

// linger ends our side, and the connection once the client has ended its own. What the client still sends
// would turn our close into a reset that destroys the answer unread (RFC 9112, 9.6); it is thrown away, up to
// a bound, and none of it is served: an answer could not go out any more.
func (c *conn) linger(why logs.Code) {
	if c.ended {
		c.close(why, nil)
		return
	}
	_ = unix.Shutdown(c.s.FD, unix.SHUT_WR)
	c.ends, c.since, c.s.In = why, c.server.loop.Now(), nil
	c.count()
	c.s.SetEvents(unix.EPOLLIN | unix.EPOLLRDHUP)
	c.discard()
}

// discard throws away what has come. What goes beyond a bound stays unread, so that its sender waits: the
// answer has its time to arrive all the same.
func (c *conn) discard() {
	n, eof, err := c.s.DiscardInput()
	if c.thrown += n; eof || err != nil {
		c.close(c.ends, nil)
	} else if c.thrown > lingerRead {
		c.s.SetEvents(unix.EPOLLRDHUP)
	}
}

// reply writes the answer to the request that was read last.
func (c *conn) reply(r response) {
	c.served++
	c.since = c.server.loop.Now()
	// Requests that were read behind this one are answered too before the program ends the connection.
	ending := (c.server.endingAt > 0 || c.server.closing) && len(c.s.In) == c.reading
	c.last = c.last || r.close || ending
	r.close = c.last
	c.s.Out = r.append(c.s.Out)
}

func (c *conn) close(code logs.Code, err error) {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.conns, c)
	c.s.Close()
	c.count()
	code = cmp.Or(c.ends, code)
	if c.late {
		code, err = logs.ClientRequestTimeout, c.malformed
	} else if c.malformed != nil {
		code, err = logs.ClientMalformed, c.malformed
	}
	c.server.log.ConnectionEnded(code, c.peer, c.served, err)
}

// retryAfterOf is the advice of a refusal; at least a millisecond, the header's finest step.
func retryAfterOf(a core.Answer) float64 { return max(math.Ceil(a.RetryAfter), 1) }

func peerOf(fd int) string {
	sa, err := unix.Getpeername(fd)
	if err != nil {
		return ""
	}
	return addressOf(sa)
}
