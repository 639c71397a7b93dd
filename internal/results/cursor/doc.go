// Package cursor seals the place of a page, so that any broker with the key can serve the next page and
// nobody else can read or make one. It has no I/O and no clock; times are Unix ms that the caller passes.
package cursor
