package httpfront

import (
	"encoding/json"
	"errors"
	"net/http"

	"ternstage/internal/contract"
	"ternstage/internal/core"
)

// The texts go to clients in bodies.
var (
	errMalformed      = errors.New("malformed request")
	errBodyTooLarge   = errors.New("body over 64 KiB")
	errHeaderTooLarge = errors.New("header over 16 KiB")
	errRequestTimeout = errors.New("the request did not come whole in time")
	errBufferLimit    = errors.New("no memory for a request that does not come whole")
	errShutdown       = errors.New("the program ends, and the request did not come whole")

	errPageIsReadOnly = errors.New("GET only")
	errQueryIsNoPost  = errors.New("a query is a POST")

	// Of final answers that have no values.
	errRejected = errors.New("refused")
	errTimedOut = errors.New("timed out")
	errFailed   = errors.New("failed")
)

// statuses are the errors that are not answered 400. No error wraps two of them.
var statuses = []struct {
	err    error
	status int
}{
	{contract.ErrUnknownTenant, http.StatusForbidden},
	{contract.ErrUnknownClass, http.StatusNotFound},
	{errPageIsReadOnly, http.StatusMethodNotAllowed},
	{errQueryIsNoPost, http.StatusMethodNotAllowed},
	{errRequestTimeout, http.StatusRequestTimeout},
	{errBodyTooLarge, http.StatusRequestEntityTooLarge},
	{errHeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge},
	{errFailed, http.StatusBadGateway},
	{errRejected, http.StatusServiceUnavailable},
	{errBufferLimit, http.StatusServiceUnavailable},
	{errShutdown, http.StatusServiceUnavailable},
	{errTimedOut, http.StatusGatewayTimeout},
}

// statusOf returns the HTTP status for an error: 400 unless statuses has another.
func statusOf(err error) int {
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusBadRequest
}

// errorResponse answers with an error: its status and a JSON object with its text as "error". A client whose shard map
// is stale gets the epoch in use, as "epoch".
func errorResponse(err error) httpResponse {
	fields := map[string]any{"error": err.Error()}
	var stale *core.StaleEpochError
	if errors.As(err, &stale) {
		fields["epoch"] = stale.Epoch
	}
	body, _ := json.Marshal(fields) // strings and ints always marshal
	return httpResponse{status: statusOf(err), body: body}
}
