package discovery

import (
	"fmt"

	"golang.org/x/sys/unix"

	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

const (
	dialTimeoutMs    = 1000.0    // ms
	maxResponseBytes = 256 << 10 // bytes: a list of 64 KiB that is indented, with its head, has room
	endpointListPath = "/catalog/members"
)

// beginCall sends the next call of the watch, on the connection of the last if that is still open.
func (w *Watcher) beginCall() {
	c := w.poller.BeginCall(w.loop.Now())
	w.inFlight = true
	w.nextCallTimer.Stop()
	if w.stream == nil {
		fd, err := loop.ConnectFreeing(w.address, w.freeDescriptor)
		if err == nil {
			w.stream, err = loop.NewStream(w.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, w)
		}
		if err != nil {
			w.failCall(logs.DiscoveryConnectFailed, err)
			return
		}
		w.connected = false
		w.callTimer.Set(w.loop.Now() + min(dialTimeoutMs, c.Timeout))
	} else {
		w.callTimer.Set(w.loop.Now() + c.Timeout)
	}
	target := endpointListPath
	if !c.FullList {
		target = fmt.Sprintf("%s?index=%d&wait=%.0f", endpointListPath, c.SinceRevision, c.Wait)
	}
	w.stream.Out = append(w.stream.Out, "GET "+target+" HTTP/1.1\r\nHost: "+w.address+"\r\n\r\n"...)
	w.write()
}

func (w *Watcher) write() {
	if !w.connected {
		return
	}
	if err := w.stream.Flush(); err != nil {
		w.failCall(logs.DiscoveryReset, err)
		return
	}
	want := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(w.stream.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	w.stream.SetEvents(want)
}

// Ready implements loop.Handler.
func (w *Watcher) Ready(events uint32) {
	if !w.connected {
		if err := loop.SocketError(w.stream.FD); err != nil {
			w.failCall(logs.DiscoveryConnectFailed, err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		w.connected = true
		w.callTimer.Set(w.loop.Now() + w.poller.Timeout())
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		eof, err := w.stream.Read(maxResponseBytes)
		s, calls := w.stream, w.answered
		if w.readResponse(eof); w.stream != s {
			return // the connection is closed
		}
		switch {
		case eof && w.answered > calls:
			// Its end came right behind an answer: the watch goes on over a new connection.
			w.closeConnection(logs.DiscoveryClosed, nil)
			if w.inFlight { // the next call was on this one
				w.beginCall()
			}
			return
		case err != nil:
			w.failCall(logs.DiscoveryReset, err)
			return
		case eof && (w.inFlight || len(w.stream.In) > 0):
			w.failCall(logs.DiscoveryClosed, nil)
			return
		case eof:
			w.closeConnection(logs.DiscoveryClosed, nil)
			return
		}
	}
	w.write()
}

// closeConnection closes the connection.
func (w *Watcher) closeConnection(code logs.Code, err error) {
	if w.stream != nil {
		w.stream.Close()
		w.stream, w.connected = nil, false
		w.log.ConnectionEnded(code, w.address, w.answered, err)
		w.answered = 0
	}
}
