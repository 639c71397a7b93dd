package clients

import (
	"errors"
)

// What can be wrong with a request; each is answered and the connection closed.
var (
	errMalformed = errors.New("malformed request")
	errTooLarge  = errors.New("body over 64 KiB")
	errHead      = errors.New("header over 16 KiB")
	errSlow      = errors.New("the request did not come whole in time")
	errCrowded   = errors.New("no memory for a request that does not come whole")
	errEnding    = errors.New("the program ends, and the request did not come whole")
)
