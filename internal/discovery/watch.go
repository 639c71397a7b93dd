package discovery

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/httpanswer"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/membership"
)

const (
	dialMost  = 1000.0    // ms
	maxAnswer = 256 << 10 // bytes: a list of 64 KiB that is indented, with its head, has room
	path      = "/catalog/members"
)

// Core takes the list.
type Core interface {
	EndpointsChanged(kind scheduler.UpdateKind, entries []scheduler.Endpoint)
}

// Watcher keeps the list up to date over one connection, by what its reader decides. It implements core.List.
type Watcher struct {
	loop    *loop.Loop
	core    Core
	log     *logs.Log
	nodes   *Registry
	reader  *membership.Poller
	address string
	room    func() bool
	s       *loop.Stream
	up      bool
	calling bool // a watch is on, or a call is out
	out     bool // a call is out
	calls   int
	timer   *loop.Timer // the call that is out has failed
	again   *loop.Timer // the next call is due
	silent  bool        // calls come to nothing: that is logged once, and its end
}

// NewWatcher makes a watcher that asks nothing until Watch, or Start where the list is pushed. room closes
// what can be spared where the process has no descriptor left for a call.
func NewWatcher(l *loop.Loop, c Core, log *logs.Log, nodes *Registry, reader *membership.Poller, address string,
	room func() bool) *Watcher {
	w := &Watcher{loop: l, core: c, log: log, nodes: nodes, reader: reader, address: address, room: room}
	w.timer = l.NewTimer(func() { w.fail(logs.DiscoveryTimeout, errors.New("no answer in time")) })
	w.again = l.NewTimer(func() {
		if w.calling && !w.out {
			w.call()
		}
	})
	return w
}

// Start begins to read a list that is pushed: the module does not ask for it.
func (w *Watcher) Start() {
	if w.reader.Pushed() {
		w.Watch()
	}
}

// LoadCached takes the list that the configuration carries: possibly old, hence cached.
func (w *Watcher) LoadCached(l EndpointList) {
	w.reader.SetCached(l.Revision, len(l.Endpoints))
	l.Complete = true
	w.core.EndpointsChanged(scheduler.UpdateCached, w.nodes.Apply(l, w.shift()))
}

// shift takes a reading of the wall clock to the loop's.
func (w *Watcher) shift() float64 { return w.loop.ReadClock() - float64(time.Now().UnixMicro())/1000 }

// Watch implements core.List.
func (w *Watcher) Watch() {
	if w.calling {
		return
	}
	w.calling = true
	// The module calls from the middle of its turn; the answer, a failure too, comes from the loop.
	w.loop.Post(func() {
		if w.calling && !w.out { // a move may have come between
			w.call()
		}
	})
}

// MoveTo goes on at another address, at once: the whole list is asked for anew, as versions need not be the
// same there. The old connection is closed with whatever it still holds, so that neither its late answer nor
// its end is taken for the new one's.
func (w *Watcher) MoveTo(address string) {
	w.drop(logs.DiscoveryAddressChanged, nil)
	w.reader.AddressChanged()
	w.address, w.calling = address, true
	w.call()
}

// call sends the next call of the watch, on the connection of the last if that is still open.
func (w *Watcher) call() {
	c := w.reader.BeginCall(w.loop.Now())
	w.out = true
	w.again.Stop()
	if w.s == nil {
		fd, err := loop.ConnectFreeing(w.address, w.room)
		if err == nil {
			w.s, err = loop.NewStream(w.loop, fd, unix.EPOLLIN|unix.EPOLLOUT|unix.EPOLLRDHUP, w)
		}
		if err != nil {
			w.fail(logs.DiscoveryConnectFailed, err)
			return
		}
		w.up = false
		w.timer.Set(w.loop.Now() + min(dialMost, c.Timeout))
	} else {
		w.timer.Set(w.loop.Now() + c.Timeout)
	}
	target := path
	if !c.FullList {
		target = fmt.Sprintf("%s?index=%d&wait=%.0f", path, c.SinceRevision, c.Wait)
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
	w.s.SetEvents(want)
}

// Ready implements loop.Handler.
func (w *Watcher) Ready(events uint32) {
	if !w.up {
		if err := loop.SocketError(w.s.FD); err != nil {
			w.fail(logs.DiscoveryConnectFailed, err)
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		w.up = true
		w.timer.Set(w.loop.Now() + w.reader.Timeout())
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
		eof, err := w.s.Read(maxAnswer)
		s, calls := w.s, w.calls
		if w.answer(eof); w.s != s {
			return // the connection is closed
		}
		switch {
		case eof && w.calls > calls:
			// Its end came right behind an answer: the watch goes on over a new connection.
			w.drop(logs.DiscoveryClosed, nil)
			if w.out { // the next call was on this one
				w.call()
			}
			return
		case err != nil:
			w.fail(logs.DiscoveryReset, err)
			return
		case eof && (w.out || len(w.s.In) > 0):
			w.fail(logs.DiscoveryClosed, nil)
			return
		case eof:
			w.drop(logs.DiscoveryClosed, nil)
			return
		}
	}
	w.write()
}

// answer takes a whole answer, and goes on with the watch. ended tells that discovery has closed.
func (w *Watcher) answer(ended bool) {
	status, body, size, last, err := httpanswer.Parse(w.s.In, maxAnswer, ended)
	if err == nil && size == 0 {
		if len(w.s.In) >= maxAnswer {
			w.fail(logs.DiscoveryMalformed, fmt.Errorf("answer over %d bytes", maxAnswer))
		}
		return
	}
	if err == nil && !w.out {
		err = errors.New("an answer to no call")
	}
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d", status)
	}
	var l EndpointList
	if err == nil {
		l, err = ParseEndpointList(body)
	}
	if err != nil {
		w.fail(logs.DiscoveryMalformed, err)
		return
	}
	w.calls++
	w.s.Consume(size)
	w.timer.Stop()
	w.out = false
	if w.silent {
		w.silent = false
		w.log.Info("list is read again", zap.String("address", w.address), zap.Any("counts", w.reader.Stats()))
	}
	next := w.reader.HandleResponse(w.loop.Now(), membership.Response{Complete: l.Complete, Revision: l.Revision,
		EndpointCount: len(l.Endpoints)})
	if next.Err != nil {
		w.log.Warn("list not taken", zap.String("code", string(logs.DiscoveryListRejected)),
			zap.Uint64("revision", l.Revision), zap.Error(next.Err))
	}
	if next.Apply {
		kind := scheduler.UpdateDelta
		if l.Complete {
			kind = scheduler.UpdateFull
		}
		w.core.EndpointsChanged(kind, w.nodes.Apply(l, w.shift()))
	}
	if last {
		w.drop(logs.DiscoveryClosed, nil)
	}
	// A watch goes on only if the next call comes within 200 ms.
	if next.At <= w.loop.Now() {
		w.call()
	} else {
		w.again.Set(next.At)
	}
}

// drop closes the connection.
func (w *Watcher) drop(code logs.Code, err error) {
	if w.s != nil {
		w.s.Close()
		w.s, w.up = nil, false
		w.log.ConnectionEnded(code, w.address, w.calls, err)
		w.calls = 0
	}
}

// fail ends a call that came to nothing. Where the list is asked for the watch ends with it, silence aside:
// the module hears of it and asks again after a delay of its own. An agent is read on at its pace.
func (w *Watcher) fail(code logs.Code, err error) {
	if w.s == nil && !w.silent {
		w.log.ConnectionEnded(code, w.address, 0, err)
	}
	w.drop(code, err)
	w.timer.Stop()
	w.again.Stop()
	if !w.calling {
		return
	}
	w.out = false
	next := w.reader.HandleFailure(w.loop.Now(), code == logs.DiscoveryTimeout)
	if next.NotifyFailure {
		w.calling = false
		w.core.EndpointsChanged(scheduler.UpdateFailed, nil)
		return
	}
	if !w.silent {
		w.silent = true
		w.log.Warn("list is silent: the last one holds", zap.String("code", string(logs.DiscoveryUnresponsive)),
			zap.String("address", w.address))
	}
	w.again.Set(next.At)
}

// Close ends the watch without a word.
func (w *Watcher) Close() {
	w.calling = false
	w.fail(logs.Shutdown, nil)
}
