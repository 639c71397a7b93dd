// Package fetchplan plans the reading of one page from many slices: how many rows to ask of each, whom to ask for
// more, whom to wait for no longer, and when to answer with what is in. It has no I/O and no clock; times are
// ms that the caller passes. Which replica is asked and whether an attempt is made again stays with the
// decision module.
package fetchplan
