package discovery

import (
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/httpanswer"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/membership"
)

// Core takes the list.
type Core interface {
	EndpointsChanged(kind scheduler.UpdateKind, entries []scheduler.Endpoint)
}

// Watcher keeps the list up to date over one connection, by what its reader decides. It implements core.List.
type Watcher struct {
	loop           *loop.Loop
	core           Core
	log            *logs.Log
	registry       *Registry
	poller         *membership.Poller
	address        string
	freeDescriptor func() bool
	stream         *loop.Stream
	connected      bool
	watching       bool // a watch is on, or a call is out
	inFlight       bool // a call is out
	answered       int
	callTimer      *loop.Timer // the call that is out has failed
	nextCallTimer  *loop.Timer // the next call is due
	unresponsive   bool        // calls come to nothing: that is logged once, and its end
}

// NewWatcher makes a watcher that asks nothing until Watch, or Start where the list is pushed. room closes
// what can be spared where the process has no descriptor left for a call.
func NewWatcher(l *loop.Loop, c Core, log *logs.Log, nodes *Registry, reader *membership.Poller, address string,
	room func() bool) *Watcher {
	w := &Watcher{loop: l, core: c, log: log, registry: nodes, poller: reader, address: address, freeDescriptor: room}
	w.callTimer = l.NewTimer(func() { w.failCall(logs.DiscoveryTimeout, errors.New("no answer in time")) })
	w.nextCallTimer = l.NewTimer(func() {
		if w.watching && !w.inFlight {
			w.beginCall()
		}
	})
	return w
}

// Start begins to read a list that is pushed: the module does not ask for it.
func (w *Watcher) Start() {
	if w.poller.Pushed() {
		w.Watch()
	}
}

// LoadCached takes the list that the configuration carries: possibly old, hence cached.
func (w *Watcher) LoadCached(l EndpointList) {
	w.poller.SetCached(l.Revision, len(l.Endpoints))
	l.Complete = true
	w.core.EndpointsChanged(scheduler.UpdateCached, w.registry.Apply(l, w.clockOffsetMs()))
}

// clockOffsetMs takes a reading of the wall clock to the loop's.
func (w *Watcher) clockOffsetMs() float64 {
	return w.loop.ReadClock() - float64(time.Now().UnixMicro())/1000
}

// Watch implements core.List.
func (w *Watcher) Watch() {
	if w.watching {
		return
	}
	w.watching = true
	// The module calls from the middle of its turn; the answer, a failure too, comes from the loop.
	w.loop.Post(func() {
		if w.watching && !w.inFlight { // a move may have come between
			w.beginCall()
		}
	})
}

// MoveTo goes on at another address, at once: the whole list is asked for anew, as versions need not be the
// same there. The old connection is closed with whatever it still holds, so that neither its late answer nor
// its end is taken for the new one's.
func (w *Watcher) MoveTo(address string) {
	w.closeConnection(logs.DiscoveryAddressChanged, nil)
	w.poller.AddressChanged()
	w.address, w.watching = address, true
	w.beginCall()
}

// readResponse takes a whole answer, and goes on with the watch. ended tells that discovery has closed.
func (w *Watcher) readResponse(ended bool) {
	status, body, size, last, err := httpanswer.Parse(w.stream.In, maxResponseBytes, ended)
	if err == nil && size == 0 {
		if len(w.stream.In) >= maxResponseBytes {
			w.failCall(logs.DiscoveryMalformed, fmt.Errorf("answer over %d bytes", maxResponseBytes))
		}
		return
	}
	if err == nil && !w.inFlight {
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
		w.failCall(logs.DiscoveryMalformed, err)
		return
	}
	w.answered++
	w.stream.Consume(size)
	w.callTimer.Stop()
	w.inFlight = false
	if w.unresponsive {
		w.unresponsive = false
		w.log.Info("list is read again", zap.String("address", w.address), zap.Any("counts", w.poller.Stats()))
	}
	next := w.poller.HandleResponse(w.loop.Now(), membership.Response{Complete: l.Complete, Revision: l.Revision,
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
		w.core.EndpointsChanged(kind, w.registry.Apply(l, w.clockOffsetMs()))
	}
	if last {
		w.closeConnection(logs.DiscoveryClosed, nil)
	}
	// A watch goes on only if the next call comes within 200 ms.
	if next.At <= w.loop.Now() {
		w.beginCall()
	} else {
		w.nextCallTimer.Set(next.At)
	}
}

// failCall ends a call that came to nothing. Where the list is asked for the watch ends with it, silence aside:
// the module hears of it and asks again after a delay of its own. An agent is read on at its pace.
func (w *Watcher) failCall(code logs.Code, err error) {
	if w.stream == nil && !w.unresponsive {
		w.log.ConnectionEnded(code, w.address, 0, err)
	}
	w.closeConnection(code, err)
	w.callTimer.Stop()
	w.nextCallTimer.Stop()
	if !w.watching {
		return
	}
	w.inFlight = false
	next := w.poller.HandleFailure(w.loop.Now(), code == logs.DiscoveryTimeout)
	if next.NotifyFailure {
		w.watching = false
		w.core.EndpointsChanged(scheduler.UpdateFailed, nil)
		return
	}
	if !w.unresponsive {
		w.unresponsive = true
		w.log.Warn("list is silent: the last one holds", zap.String("code", string(logs.DiscoveryUnresponsive)),
			zap.String("address", w.address))
	}
	w.nextCallTimer.Set(next.At)
}

// Close ends the watch without a word.
func (w *Watcher) Close() {
	w.watching = false
	w.failCall(logs.Shutdown, nil)
}
