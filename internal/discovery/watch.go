package discovery

import (
	"errors"
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"ternstage/balance"
	"ternstage/internal/httpanswer"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

const (
	waitMS     = 3000   // of one watch call: silence must show before changes count as told
	answerMost = 2000.0 // ms beyond the wait: a call without an answer by then has failed
	dialMost   = 1000.0 // ms
	maxAnswer  = 64<<10 + 16<<10
	path       = "/catalog/members"
)

// Core takes the list.
type Core interface {
	ListChanged(kind balance.ListKind, entries []balance.Entry)
}

// Watcher keeps the list up to date over one connection. It implements core.List.
type Watcher struct {
	loop     *loop.Loop
	core     Core
	log      *logs.Log
	nodes    *Nodes
	address  string
	revision uint64
	have     bool
	s        *loop.Stream
	up       bool
	calling  bool // a call is out
	calls    int
	timer    *loop.Timer
}

// NewWatcher makes a watcher that asks nothing until Watch.
func NewWatcher(l *loop.Loop, c Core, log *logs.Log, nodes *Nodes, address string) *Watcher {
	w := &Watcher{loop: l, core: c, log: log, nodes: nodes, address: address}
	w.timer = l.NewTimer(func() { w.fail(logs.DiscoveryTimeout, errors.New("no answer in time")) })
	return w
}

// Known takes the list that the configuration carries: possibly old, hence cached.
func (w *Watcher) Known(l List) {
	w.revision, w.have = l.Revision, l.Revision > 0 || len(l.Members) > 0
	l.Complete = true
	w.core.ListChanged(balance.ListCached, w.nodes.Apply(l, w.shift()))
}

// shift takes a reading of the wall clock to the loop's.
func (w *Watcher) shift() float64 { return w.loop.Clock() - float64(time.Now().UnixMicro())/1000 }

// Watch implements core.List.
func (w *Watcher) Watch() {
	if w.calling {
		return
	}
	w.calling = true
	// The module calls from the middle of its turn; the answer, a failure too, comes from the loop.
	w.loop.Post(func() {
		if w.calling && w.s == nil { // a move may have come between
			w.call()
		}
	})
}

// Move goes on at another address, at once: the whole list is asked for anew, as versions need not be the
// same there. The old connection is closed with whatever it still holds, so that neither its late answer nor
// its end is taken for the new one's.
func (w *Watcher) Move(address string) {
	w.drop(logs.DiscoveryMoved, nil)
	w.address, w.revision, w.have, w.calling = address, 0, false, true
	w.call()
}

// call sends the next call of the watch, on the connection of the last if that is still open.
func (w *Watcher) call() {
	if w.s == nil {
		fd, err := loop.Connect(w.address)
		if err == nil {
			w.s, err = loop.NewStream(w.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, w)
		}
		if err != nil {
			w.fail(logs.DiscoveryRefused, err)
			return
		}
		w.up = false
		w.timer.Set(w.loop.Now() + dialMost)
	} else {
		w.timer.Set(w.loop.Now() + waitMS + answerMost)
	}
	target := path
	if w.have {
		target = fmt.Sprintf("%s?index=%d&wait=%d", path, w.revision, waitMS)
	}
	w.s.Out = append(w.s.Out, "GET "+target+" HTTP/1.1\r\nHost: "+w.address+"\r\n\r\n"...)
	w.write()
}

func (w *Watcher) write() {
	if !w.up {
		return
	}
	if err := w.s.Flush(); err != nil {
		w.fail(logs.DiscoveryReset, err)
		return
	}
	want := uint32(unix.EPOLLIN | unix.EPOLLRDHUP)
	if len(w.s.Out) > 0 {
		want |= unix.EPOLLOUT
	}
	w.s.Want(want)
}

// Ready implements loop.Handler.
func (w *Watcher) Ready(events uint32) {
	if !w.up {
		if err := loop.Failure(w.s.FD); err != nil {
			w.fail(logs.DiscoveryRefused, err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		w.up = true
		w.timer.Set(w.loop.Now() + waitMS + answerMost)
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		eof, err := w.s.Read(maxAnswer)
		s, calls := w.s, w.calls
		if w.answer(); w.s != s {
			return // the connection is closed
		}
		switch {
		case eof && w.calls > calls:
			// Its end came right behind an answer: the watch goes on over a new connection.
			w.drop(logs.DiscoveryEnded, nil)
			w.call()
			return
		case err != nil:
			w.fail(logs.DiscoveryReset, err)
			return
		case eof && w.calling && w.s.Out == nil || eof && len(w.s.In) > 0:
			w.fail(logs.DiscoveryEnded, nil)
			return
		case eof:
			w.drop(logs.DiscoveryEnded, nil)
			return
		}
	}
	w.write()
}

// answer takes a whole answer, and goes on with the watch.
func (w *Watcher) answer() {
	status, body, size, last, err := httpanswer.Parse(w.s.In, maxAnswer)
	if err == nil && size == 0 {
		if len(w.s.In) >= maxAnswer {
			w.fail(logs.DiscoveryBad, errors.New("answer over 64 KiB"))
		}
		return
	}
	if err == nil && !w.calling {
		err = errors.New("an answer to no call")
	}
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d", status)
	}
	var l List
	if err == nil {
		l, err = ParseList(body)
	}
	if err != nil {
		w.fail(logs.DiscoveryBad, err)
		return
	}
	w.calls++
	w.s.Consume(size)
	kind := balance.ListDelta
	if l.Complete {
		kind = balance.ListFull
	}
	w.revision, w.have = l.Revision, true
	w.core.ListChanged(kind, w.nodes.Apply(l, w.shift()))
	if last {
		w.drop(logs.DiscoveryEnded, nil)
	}
	w.call() // at once: a watch goes on only if the next call comes within 200 ms
}

// drop closes the connection.
func (w *Watcher) drop(code logs.Code, err error) {
	if w.s != nil {
		w.s.Close()
		w.s, w.up = nil, false
		w.log.Conn(code, w.address, w.calls, err)
		w.calls = 0
	}
}

// fail ends the watch. The module hears of it and asks again after a delay of its own.
func (w *Watcher) fail(code logs.Code, err error) {
	if w.s == nil {
		w.log.Conn(code, w.address, 0, err)
	}
	w.drop(code, err)
	w.timer.Stop()
	if w.calling {
		w.calling = false
		w.core.ListChanged(balance.ListFailed, nil)
	}
}

// Close ends the watch without a word.
func (w *Watcher) Close() {
	w.calling = false
	w.fail(logs.Shutdown, nil)
}
