// Package merge puts ranked rows and partial aggregates of slices together. It has no I/O and no clock. What
// cannot be combined fails the slice that brought it, by name, and nothing of that slice is in the result.
package merge
