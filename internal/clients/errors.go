package clients

import (
	"errors"
)

// What can be wrong with a request; each is answered and the connection closed.
var (
	errMalformed      = errors.New("malformed request")
	errBodyTooLarge   = errors.New("body over 64 KiB")
	errHeaderTooLarge = errors.New("header over 16 KiB")
	errRequestTimeout = errors.New("the request did not come whole in time")
	errBufferLimit    = errors.New("no memory for a request that does not come whole")
	errShutdown       = errors.New("the program ends, and the request did not come whole")
)
