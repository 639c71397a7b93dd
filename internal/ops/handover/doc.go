// Package handover carries what one process of an aggregator sent to cold leafs over to the process that
// takes over from it, so that the new one need not wait a whole window of their allowance before it uses
// them, and the two together stay within the one share of the aggregator. It decides and encodes; it does
// no I/O and reads no clock: times are given, in ms, wall-clock ones as Unix time.
package handover
