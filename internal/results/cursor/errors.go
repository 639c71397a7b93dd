package cursor

import "errors"

// What can be wrong with a cursor. The texts go to clients and reveal nothing of its content.
var (
	ErrMalformed    = errors.New("the cursor is none")
	ErrUnknownKey   = errors.New("the cursor's key is gone")
	ErrNotAuthentic = errors.New("the cursor was altered")
	ErrExpired      = errors.New("the cursor has expired")
	ErrOtherQuery   = errors.New("the cursor is of another query")
	ErrOtherTenant  = errors.New("the cursor is of another tenant")
	ErrTooLong      = errors.New("the cursor would be too long")
)
