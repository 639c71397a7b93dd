package membership

import "errors"

// ErrStaleRevision tells that a change builds on a list that is not ours: the whole list is asked for.
var ErrStaleRevision = errors.New("the list's version went back")

// ErrEmptyList tells that a whole list without any member was not taken, since one with members is known.
var ErrEmptyList = errors.New("an empty list in place of one with members")

// Call is how the next call is made.
type Call struct {
	FullList      bool    // the whole list is asked for, not what is newer than Index
	SinceRevision uint64  // the version that is known
	Wait          float64 // ms that a call for changes may wait at the other side
	Timeout       float64 // ms after which a call without an answer has failed
}

// Response is what came of a call.
type Response struct {
	Complete      bool
	Revision      uint64
	EndpointCount int
}

// Next is what follows an answer or a failure.
type Next struct {
	At            float64 // when to call again
	Apply         bool    // what came is given to the module
	NotifyFailure bool    // the module is told of the failure, and says itself when to call again: At counts for nothing
	Err           error   // why what came is not taken, nil if it is
}

// Stats are what a reader has counted.
type Stats struct{ Calls, Failed, Stale, Empty uint64 }
