// Package handover passes what one process of a broker sent to warming backends to the process that replaces it.
//
// While a backend warms up, a broker may send it only its slow-start quota within a window. A process that starts
// does not know what its predecessor sent within the last window. Without a handover it has to wait one window before
// it sends anything to warming backends, or the two would exceed the quota together.
//
// The predecessor stops sending to warming backends, and writes what it sent as a record ([Encode]). The successor
// reads it ([Decode]), asks [Successor.Decide] whether the record is meant for it, and counts the sends as its own
// ([AgeSends]).
//
// The package decides and encodes. It has no I/O and no clock: times are passed in milliseconds, those of the wall
// clock as Unix time.
package handover
