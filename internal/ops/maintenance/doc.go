// Package maintenance decides what the operators' calls change: which leafs are held out of service (a ban,
// from suspend to resume), whether the aggregator sends its clients away (from drain to activate), and what
// each call is answered. It does no I/O and reads no clock: times are the caller's, in ms.
//
// A ban is a fact of the aggregator, not of one process: it is kept in a file beside the process (see
// Encode and Decode) that every process of the aggregator reads, so that it holds across an upgrade.
package maintenance
