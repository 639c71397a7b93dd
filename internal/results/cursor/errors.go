package cursor

import "errors"

// What can be wrong with a cursor. The texts go to clients and reveal nothing of its content.
var (
	ErrMalformed    = errors.New("malformed cursor")
	ErrUnknownKey   = errors.New("cursor sealed with an unknown key")
	ErrNotAuthentic = errors.New("cursor is not authentic")
	ErrExpired      = errors.New("cursor has expired")
	ErrOtherQuery   = errors.New("cursor of another query")
	ErrOtherTenant  = errors.New("cursor of another tenant")
	ErrTooLong      = errors.New("cursor would be too long")
)
