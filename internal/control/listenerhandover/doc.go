// Package listenerhandover passes a listening TCP socket from a process of a broker to the one that takes over from it.
//
// Both processes then accept from the same queue of the kernel, so that no connection is refused or reset when the old
// process closes its descriptor. A process offers its listener by a Unix socket in the directory that the processes of
// one broker share ($TMPDIR), and a new process asks there. Several processes may offer the same listener: if the new
// process of an upgrade ends before it is ready, the next one takes the listener from the old one.
//
// An address that another program has is not taken: the listener must be offered in the directory, and it must listen
// on the wanted address.
package listenerhandover
