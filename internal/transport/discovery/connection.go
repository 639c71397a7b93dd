package discovery

import (
	"fmt"

	"golang.org/x/sys/unix"

	"ternstage/internal/decision/endpointpoll"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

const (
	// connectTimeoutMs bounds the TCP handshake; the timeout of the call bounds it too where that is shorter.
	connectTimeoutMs = 1000.0
	// maxResponseBytes bounds a response with its header. It leaves room for an indented list of 64 KiB.
	maxResponseBytes = 256 << 10

	endpointListPath = "/catalog/members"
)

// inputEvents are the events on which the stream is read; an error or hang-up shows as the result of the read.
const inputEvents = unix.EPOLLIN | unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR

// beginCall sends the next call, on the connection of the last one if that is still open.
func (w *Watcher) beginCall() {
	call := w.poller.BeginCall(w.loop.Now())
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

// connect starts a connection; Ready learns whether it succeeds. On an error there is no stream.
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

// write sends what the kernel accepts of the pending request, once the connection is established.
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

// finishConnect reports whether the connection is established. The timeout of the call runs from then on.
func (w *Watcher) finishConnect(events uint32) bool {
	if err := loop.SocketError(w.stream.FD); err != nil {
		w.failCall(logs.DiscoveryConnectFailed, err)
		return false
	}
	if events&unix.EPOLLOUT == 0 {
		return false
	}
	w.connected = true
	w.callTimer.Set(w.loop.Now() + w.poller.Timeout())
	return true
}

// read handles what has arrived, and reports whether the connection is still open.
func (w *Watcher) read() bool {
	peerClosed, err := w.stream.Read(maxResponseBytes)
	stream := w.stream
	answeredBefore := w.answered
	w.readResponse(peerClosed)
	if w.stream != stream {
		return false
	}
	switch {
	case peerClosed && w.answered > answeredBefore:
		// Its end followed a response: the watch goes on over a new connection. The call that may be in flight was sent
		// on this one and is made again.
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
	w.log.ConnectionEnded(code, w.address, w.answered, err)
	w.answered = 0
}
