package cursor

import "errors"

// Errors of Seal and Open. Clients see their texts, which reveal nothing about the content of a cursor.
var (
	ErrMalformed    = errors.New("malformed cursor")
	ErrUnknownKey   = errors.New("cursor sealed with an unknown key")
	ErrNotAuthentic = errors.New("cursor is not authentic")
	ErrExpired      = errors.New("cursor has expired")
	ErrOtherQuery   = errors.New("cursor of another query")
	ErrOtherTenant  = errors.New("cursor of another tenant")
	ErrTooLong      = errors.New("cursor would be too long")
)
