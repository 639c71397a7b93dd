// Package discovery keeps a broker's endpoint list up to date.
//
// A Watcher calls the discovery service, or the discovery agent on the broker's machine, over HTTP/1.1 on the event
// loop. When it calls and what a response means is decided by an endpointpoll.Poller; the Watcher does the I/O. A
// Registry assigns replica numbers, knows addresses, applies suspensions, and remembers drains that an older list
// must not undo.
//
// document.go is the only place that knows the form of the list on the wire.
//
// Everything in this package runs on the loop's thread and never blocks. Times are in ms: those of the loop's clock
// unless a name says Unix.
package discovery
