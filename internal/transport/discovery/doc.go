// Package discovery keeps a broker's endpoint list up to date.
//
// A Watcher calls the discovery service, or the discovery agent on the broker's machine, over HTTP/1.1 on the event
// loop. An endpointpoll.Poller decides when to call and how to handle a response; the Watcher does the I/O. A
// Registry assigns replica numbers, stores addresses, applies suspensions, and remembers drains so that an older list
// does not undo them.
//
// document.go is the only file that depends on the wire format of the list.
//
// Everything in this package runs on the loop's thread and never blocks. Times are in ms: those of the loop's clock
// unless a name says Unix.
package discovery
