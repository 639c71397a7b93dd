// Package adminops carries out the calls of the admin API on the broker's event loop.
//
// Package maintenance decides what a call changes. [Control] stores the change in files that all processes of the
// broker share, applies the changes that other processes have stored, and updates the scheduler and the front:
//
//   - suspensions.go: suspend and resume a backend; the scheduler is notified by an endpoint list update.
//   - drain.go: drain and activate the broker; the front passes through the phases of a drain.
//   - handover.go: passes the attempts sent to warming backends from a process that ends to its successor.
//   - otherprocess.go: detects another process of the broker that serves beside this one.
//
// A call whose change cannot be stored is answered 500, although the change is in force in this process: the next
// process would not know of it. A call to suspend or resume that finds the file locked by another process is answered
// 500 too, and changes nothing. A file that cannot be read is logged once. If it is the file of the suspensions, they
// stay as they were; if it is the file of the drain, the broker drains.
//
// Everything here runs on the event loop; nothing is safe for concurrent use.
package adminops
