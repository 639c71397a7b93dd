// Package adminops carries out the calls of the admin API on the broker's event loop.
//
// What a call changes is decided by package maintenance. Control stores it in files that every process of the broker
// shares, applies what other processes have stored, and has the rest of the broker follow:
//
//   - suspensions.go: calls to suspend and resume a backend; the scheduler hears of them as of the endpoint list.
//   - drain.go: calls to drain and to activate; the clients' front is taken through the phases of a drain.
//   - handover.go: sends to warming backends, passed from a process that ends to its successor.
//   - otherprocess.go: whether another process of the broker serves beside this one.
//
// A call that cannot be stored is answered 500, although it is in force in this process: the next process would not
// know of it. A suspension that finds the file locked by another process is answered 500 too, and changes nothing. A
// file that cannot be read is logged once. Suspensions then stay as they were, and the broker is draining if the file
// is that of a drain.
//
// Everything here runs on the event loop; nothing is safe for concurrent use.
package adminops
