// Package handover transfers the attempts that one process of a broker sent to warming backends to the process that
// replaces it.
//
// While a backend warms up, a broker may send it only its slow-start quota within a window. A process that starts
// does not know what its predecessor sent within the last window. Without a handover it has to wait one window before
// it sends anything to warming backends; otherwise the two processes together would exceed the quota.
//
// The predecessor stops sending to warming backends and writes the attempts that it sent as a record ([Encode]). The
// successor reads the record ([Decode]), asks [Successor.Decide] what to do with it, and counts the attempts against
// its own quota ([AgeAttempts]).
//
// The package makes decisions and encodes records. It does no I/O and has no clock: callers pass all times, in
// milliseconds. Wall-clock times are milliseconds of Unix time.
package handover
