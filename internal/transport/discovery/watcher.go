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
	// EndpointsChanged receives the endpoints of an applied list. A call with scheduler.UpdateFailed and no endpoints
	// reports that the watch has ended.
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

	stream        *loop.Stream // nil without a connection
	connected     bool         // the TCP handshake of stream is done
	answeredCalls int          // on stream

	watching      bool // the list is followed; cleared when the scheduler is notified of a failed call
	inFlight      bool // a call has no response yet
	callTimer     *loop.Timer
	callTimeoutMs float64 // timeout of the call in flight, counted from when its connection is established
	nextCallTimer *loop.Timer
	unresponsive  bool // the last call failed, and that has been logged
}

// NewWatcher returns a Watcher that makes no call before Watch or, in the pushed mode, Start. address is the IP
// address and port of the service or agent. freeDescriptor is called if the process has run out of descriptors: it
// closes a connection that is not needed and reports whether it did. It may be nil.
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
	w.callTimer = l.NewTimer(w.handleCallTimeout)
	w.nextCallTimer = l.NewTimer(w.callIfDue)
	return w
}

// Start starts to follow a pushed list, for which the scheduler does not call Watch. It does nothing for a polled
// list.
func (w *Watcher) Start() {
	if w.poller.Pushed() {
		w.Watch()
	}
}

// LoadCached applies the list from the configuration. The scheduler receives it as a cached list, since it may be
// stale.
func (w *Watcher) LoadCached(list EndpointList) {
	w.poller.SetCached(list.Revision, len(list.Endpoints))
	list.Complete = true
	w.core.EndpointsChanged(scheduler.UpdateCached, w.registry.Apply(list, w.clockOffsetMs()))
}

// Watch starts to follow the list; it does nothing if the list is being followed already. The scheduler calls Watch
// within a scheduling round, so the first call is posted to the loop: Core receives no update or failure before Watch
// returns.
func (w *Watcher) Watch() {
	if w.watching {
		return
	}
	w.watching = true
	w.log.Info("endpoint list is polled", zap.String("address", w.address), zap.Any("counts", w.poller.Stats()))
	w.loop.Post(w.callIfDue)
}

// MoveTo continues the watch at another address at once. The old connection is closed even if a call is in flight, so
// that a late response or hang-up of the old connection is not attributed to the new one.
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

// clockOffsetMs returns the loop's clock minus Unix time, in ms.
func (w *Watcher) clockOffsetMs() float64 {
	return w.loop.ReadClock() - float64(time.Now().UnixMicro())/1000
}

// callIfDue starts the next call unless MoveTo has already started one or the watch has ended.
func (w *Watcher) callIfDue() {
	if w.watching && !w.inFlight {
		w.beginCall()
	}
}

func (w *Watcher) handleCallTimeout() {
	w.failCall(logs.DiscoveryTimeout, errors.New("no response in time"))
}

// readResponse handles the response to the call in flight once it is complete. peerClosed means that no more input
// follows.
func (w *Watcher) readResponse(peerClosed bool) {
	response, err := httpresponse.Parse(w.stream.In, maxResponseBytes, peerClosed)
	if err == nil && !response.Complete() {
		if len(w.stream.In) >= maxResponseBytes {
			w.failCall(logs.DiscoveryMalformed, fmt.Errorf("response exceeds %d bytes", maxResponseBytes))
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
	w.answeredCalls++
	w.stream.Consume(response.Size)
	w.callTimer.Stop()
	w.inFlight = false
	w.logRecovery()
	nextCallAtMs := w.applyList(list)
	if response.Last {
		w.closeConnection(logs.DiscoveryClosed, nil)
	}
	// The discovery service ends a watch unless the next call comes within 200 ms.
	if nextCallAtMs <= w.loop.Now() {
		w.beginCall()
	} else {
		w.nextCallTimer.Set(nextCallAtMs)
	}
}

// decode returns the list in a complete response, or an error if the response has no valid list.
func (w *Watcher) decode(response httpresponse.Response) (EndpointList, error) {
	if !w.inFlight {
		return EndpointList{}, errors.New("response without a call in flight")
	}
	if response.Status != http.StatusOK {
		return EndpointList{}, fmt.Errorf("HTTP status %d, want 200", response.Status)
	}
	return ParseEndpointList(response.Body)
}

// applyList passes a list to Core unless the Poller rejects it. It returns the time at which the next call is due.
func (w *Watcher) applyList(list EndpointList) (nextCallAtMs float64) {
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

// failCall ends the call in flight without a usable list, and closes its connection. The Poller decides whether the
// watch ends, in which case the scheduler is notified, or continues with another call. The current list stays in use.
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

// logUnresponsive logs the first of consecutive failures.
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
