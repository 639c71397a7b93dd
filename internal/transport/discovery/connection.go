package discovery

import (
	"fmt"

	"golang.org/x/sys/unix"

	"ternstage/internal/decision/endpointpoll"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const (
	// connectTimeoutMs is the limit for the TCP handshake, unless the timeout of the call is shorter.
	connectTimeoutMs = 1000.0
	// maxResponseBytes is the maximum size of a response with its header. An indented list of 64 KiB fits.
	maxResponseBytes = 256 << 10

	endpointListPath = "/catalog/members"
)

// inputEvents are the epoll events after which the stream is read. The read itself reports an error or hang-up.
const inputEvents = unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR

// beginCall starts the next call. It reuses the connection of the previous call if that is still open.
func (w *Watcher) beginCall() {
	call := w.poller.BeginCall(w.loop.Now())
	w.callTimeoutMs = call.Timeout
	w.inFlight = true
	w.nextCallTimer.Stop()
	if w.stream != nil {
		w.callTimer.Set(w.loop.Now() + call.Timeout)
	} else {
		if err := w.connect(); err != nil {
			w.failCall(logs.DiscoveryConnectFailed, err)
			return
		}
		w.callTimer.Set(w.loop.Now() + min(connectTimeoutMs, call.Timeout))
	}
	request := "GET " + requestTarget(call) + " HTTP/1.1\r\nHost: " + w.address + "\r\n\r\n"
	w.stream.Out = append(w.stream.Out, request...)
	w.write()
}

// requestTarget returns the path and query of a call.
func requestTarget(call endpointpoll.Call) string {
	if call.FullList {
		return endpointListPath
	}
	return fmt.Sprintf("%s?index=%d&wait=%.0f", endpointListPath, call.SinceRevision, call.Wait)
}

// connect starts to open a connection; Ready handles the outcome. After an error, stream remains nil.
func (w *Watcher) connect() error {
	fd, err := loop.ConnectFreeing(w.address, w.freeDescriptor)
	if err != nil {
		return err
	}
	stream, err := loop.NewStream(w.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, w)
	if err != nil {
		return err
	}
	w.stream = stream
	w.connected = false
	return nil
}

// write sends as much of the pending request as the kernel accepts. It does nothing before the connection is
// established.
func (w *Watcher) write() {
	if !w.connected {
		return
	}
	if err := w.stream.Flush(); err != nil {
		w.failCall(logs.DiscoveryReset, err)
		return
	}
	events := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(w.stream.Out) > 0 {
		events |= unix.EPOLLOUT
	}
	w.stream.SetEvents(events)
}

// Ready handles events of the connection. It implements loop.Handler.
func (w *Watcher) Ready(events uint32) {
	if !w.connected && !w.finishConnect(events) {
		return
	}
	if events&inputEvents != 0 && !w.read() {
		return
	}
	w.write()
}

// finishConnect reports whether the connection is established, and starts the timeout of the call when it is.
func (w *Watcher) finishConnect(events uint32) bool {
	if err := loop.SocketError(w.stream.FD); err != nil {
		w.failCall(logs.DiscoveryConnectFailed, err)
		return false
	}
	if events&unix.EPOLLOUT == 0 {
		return false
	}
	w.connected = true
	w.callTimer.Set(w.loop.Now() + w.callTimeoutMs)
	return true
}

// read handles the input that has arrived and reports whether the connection is still open.
func (w *Watcher) read() bool {
	peerClosed, err := w.stream.Read(maxResponseBytes)
	stream := w.stream
	answeredBefore := w.answeredCalls
	w.readResponse(peerClosed)
	if w.stream != stream {
		return false
	}
	switch {
	case peerClosed && w.answeredCalls > answeredBefore:
		// The service closed the connection after a response: the watch continues on a new connection. A call that is
		// in flight was sent on the closed connection and is repeated.
		w.closeConnection(logs.DiscoveryClosed, nil)
		if w.inFlight {
			w.beginCall()
		}
		return false
	case err != nil:
		w.failCall(logs.DiscoveryReset, err)
		return false
	case peerClosed && (w.inFlight || len(w.stream.In) > 0):
		w.failCall(logs.DiscoveryClosed, nil)
		return false
	case peerClosed:
		w.closeConnection(logs.DiscoveryClosed, nil)
		return false
	}
	return true
}

// closeConnection closes the connection, if there is one, and logs its end.
func (w *Watcher) closeConnection(code logs.Code, err error) {
	if w.stream == nil {
		return
	}
	w.stream.Close()
	w.stream = nil
	w.connected = false
	w.log.ConnectionEnded(code, w.address, w.answeredCalls, err)
	w.answeredCalls = 0
}
