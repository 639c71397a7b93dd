package discovery

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"ternstage/internal/decision/endpointpoll"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/transport/httpresponse"
	"ternstage/internal/transport/loop"
)

// Core receives the updates of the endpoint list.
type Core interface {
	// EndpointsChanged passes on a list, or, with scheduler.UpdateFailed and no endpoints, the end of the watch.
	EndpointsChanged(kind scheduler.UpdateKind, endpoints []scheduler.Endpoint)
}

// Watcher keeps the endpoint list up to date over at most one connection, as its Poller decides. It implements
// core.EndpointList and loop.Handler, and runs on the loop's thread alone.
//
// Invariants until Close: inFlight implies watching; connected implies that stream is set; while watching, either a
// call is in flight, or nextCallTimer is set, or a posted callIfDue is pending.
type Watcher struct {
	loop           *loop.Loop
	core           Core
	log            *logs.Log
	registry       *Registry
	poller         *endpointpoll.Poller
	address        string
	freeDescriptor func() bool

	stream    *loop.Stream // nil without a connection
	connected bool         // the TCP handshake of stream is done
	answered  int          // calls answered on stream

	watching      bool // calls follow one another until one fails in a way that the scheduler is notified of
	inFlight      bool // a call awaits its response
	callTimer     *loop.Timer
	nextCallTimer *loop.Timer
	unresponsive  bool // the last call failed, and that has been logged
}

// NewWatcher returns a Watcher that makes no call until Watch, or until Start in the pushed mode. address is the IP
// address and port of the service or agent. Where the process is out of descriptors, freeDescriptor closes a connection
// that can be spared and reports whether it did; nil stands for none.
func NewWatcher(l *loop.Loop, core Core, log *logs.Log, registry *Registry, poller *endpointpoll.Poller, address string,
	freeDescriptor func() bool) *Watcher {
	w := &Watcher{
		loop:           l,
		core:           core,
		log:            log,
		registry:       registry,
		poller:         poller,
		address:        address,
		freeDescriptor: freeDescriptor,
	}
	w.callTimer = l.NewTimer(w.callTimedOut)
	w.nextCallTimer = l.NewTimer(w.callIfDue)
	return w
}

// Start begins to read a pushed list, for which the scheduler does not call Watch. It does nothing for a polled list.
func (w *Watcher) Start() {
	if w.poller.Pushed() {
		w.Watch()
	}
}

// LoadCached applies the list that the configuration carries. It may be stale, so it goes to the scheduler as cached.
func (w *Watcher) LoadCached(list EndpointList) {
	w.poller.SetCached(list.Revision, len(list.Endpoints))
	list.Complete = true
	w.core.EndpointsChanged(scheduler.UpdateCached, w.registry.Apply(list, w.clockOffsetMs()))
}

// Watch begins to follow the list; it does nothing while the Watcher does so. It returns before any outcome, a failure
// included, is passed on, since the scheduler calls it within a scheduling round.
func (w *Watcher) Watch() {
	if w.watching {
		return
	}
	w.watching = true
	w.loop.Post(w.callIfDue)
}

// MoveTo continues at another address at once. The old connection is closed whatever is in flight on it, so that
// neither a late response nor its end is taken for one of the new connection.
func (w *Watcher) MoveTo(address string) {
	w.closeConnection(logs.DiscoveryAddressChanged, nil)
	w.poller.AddressChanged()
	w.address = address
	w.watching = true
	w.beginCall()
}

// Close ends the watch without notifying the scheduler.
func (w *Watcher) Close() {
	w.watching = false
	w.failCall(logs.Shutdown, nil)
}

// clockOffsetMs is the loop's clock minus Unix time.
func (w *Watcher) clockOffsetMs() float64 {
	return w.loop.ReadClock() - float64(time.Now().UnixMicro())/1000
}

// callIfDue makes the next call unless MoveTo has made it meanwhile or the watch has ended.
func (w *Watcher) callIfDue() {
	if w.watching && !w.inFlight {
		w.beginCall()
	}
}

func (w *Watcher) callTimedOut() {
	w.failCall(logs.DiscoveryTimeout, errors.New("no response in time"))
}

// readResponse handles the response to the call in flight once it is complete. peerClosed says that no more input
// follows.
func (w *Watcher) readResponse(peerClosed bool) {
	response, err := httpresponse.Parse(w.stream.In, maxResponseBytes, peerClosed)
	if err == nil && !response.Complete() {
		if len(w.stream.In) >= maxResponseBytes {
			w.failCall(logs.DiscoveryMalformed, fmt.Errorf("response over %d bytes", maxResponseBytes))
		}
		return
	}
	var list EndpointList
	if err == nil {
		list, err = w.decode(response)
	}
	if err != nil {
		w.failCall(logs.DiscoveryMalformed, err)
		return
	}
	w.answered++
	w.stream.Consume(response.Size)
	w.callTimer.Stop()
	w.inFlight = false
	w.logRecovery()
	nextCallAt := w.applyList(list)
	if response.Last {
		w.closeConnection(logs.DiscoveryClosed, nil)
	}
	// Discovery ends a watch unless the next call comes within 200 ms.
	if nextCallAt <= w.loop.Now() {
		w.beginCall()
	} else {
		w.nextCallTimer.Set(nextCallAt)
	}
}

// decode returns the list of a complete response, or why it has none.
func (w *Watcher) decode(response httpresponse.Response) (EndpointList, error) {
	if !w.inFlight {
		return EndpointList{}, errors.New("response without a call in flight")
	}
	if response.Status != http.StatusOK {
		return EndpointList{}, fmt.Errorf("status %d", response.Status)
	}
	return ParseEndpointList(response.Body)
}

// applyList passes a list on unless the Poller rejects it, and returns when the next call is due.
func (w *Watcher) applyList(list EndpointList) (nextCallAt float64) {
	next := w.poller.HandleResponse(w.loop.Now(), endpointpoll.Response{
		Complete:      list.Complete,
		Revision:      list.Revision,
		EndpointCount: len(list.Endpoints),
	})
	if next.Err != nil {
		w.log.Warn("endpoint list rejected", zap.String("code", string(logs.DiscoveryListRejected)),
			zap.Uint64("revision", list.Revision), zap.Error(next.Err))
	}
	if next.Apply {
		w.core.EndpointsChanged(list.updateKind(), w.registry.Apply(list, w.clockOffsetMs()))
	}
	return next.At
}

// failCall ends the call in flight, and its connection, without a usable list. The Poller decides whether the watch
// ends too, of which the scheduler is notified, or goes on with another call. The list in force stays.
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
	w.logUnresponsive()
	w.nextCallTimer.Set(next.At)
}

// logUnresponsive logs the first of several failures in a row.
func (w *Watcher) logUnresponsive() {
	if w.unresponsive {
		return
	}
	w.unresponsive = true
	w.log.Warn("discovery is unresponsive: the cached endpoint list stays in force",
		zap.String("code", string(logs.DiscoveryUnresponsive)), zap.String("address", w.address))
}

// logRecovery logs the first response after failures.
func (w *Watcher) logRecovery() {
	if !w.unresponsive {
		return
	}
	w.unresponsive = false
	w.log.Info("discovery responds again", zap.String("address", w.address), zap.Any("counts", w.poller.Stats()))
}
