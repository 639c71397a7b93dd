package httpfront

import (
	"encoding/json"
	"errors"
	"net/http"

	"ternstage/internal/contract"
	"ternstage/internal/core"
)

// The texts of these errors are sent to clients in response bodies.
var (
	errMalformed      = errors.New("malformed request")
	errBodyTooLarge   = errors.New("body over 64 KiB")
	errHeaderTooLarge = errors.New("header over 16 KiB")
	// The rest of the request did not arrive within the time limit.
	errRequestTimeout = errors.New("the request did not come whole in time")
	// The request has arrived in part, and all connections together buffer too much to wait for its rest.
	errBufferLimit = errors.New("no memory for a request that does not come whole")
	// The request has arrived, and all connections together buffer too much to let it wait until it is parsed.
	errQueueLimit = errors.New("no memory for a request of this size")
	// The program shuts down, and the rest of the request did not arrive in time.
	errShutdown = errors.New("the program ends, and the request did not come whole")

	errPageIsReadOnly = errors.New("GET only")
	errQueryNotPost   = errors.New("a query is a POST")

	// Errors for final answers without values.
	errRejected = errors.New("refused")
	errTimedOut = errors.New("timed out")
	errFailed   = errors.New("failed")
)

// statuses lists the errors whose status is not 400. No error wraps two of them, so that their order does not matter.
var statuses = []struct {
	err    error
	status int
}{
	{contract.ErrUnknownTenant, http.StatusForbidden},
	{contract.ErrUnknownClass, http.StatusNotFound},
	{errPageIsReadOnly, http.StatusMethodNotAllowed},
	{errQueryNotPost, http.StatusMethodNotAllowed},
	{errRequestTimeout, http.StatusRequestTimeout},
	{errBodyTooLarge, http.StatusRequestEntityTooLarge},
	{errHeaderTooLarge, http.StatusRequestHeaderFieldsTooLarge},
	{errFailed, http.StatusBadGateway},
	{errRejected, http.StatusServiceUnavailable},
	{errBufferLimit, http.StatusServiceUnavailable},
	{errQueueLimit, http.StatusServiceUnavailable},
	{errShutdown, http.StatusServiceUnavailable},
	{errTimedOut, http.StatusGatewayTimeout},
}

// statusOf returns the HTTP status for an error: 400 unless statuses lists another.
func statusOf(err error) int {
	for _, s := range statuses {
		if errors.Is(err, s.err) {
			return s.status
		}
	}
	return http.StatusBadRequest
}

// errorResponse returns the response for an error. The body is a JSON object with the error's text as "error". If the
// client's shard map is stale, the object also has the epoch in use as "epoch".
func errorResponse(err error) httpResponse {
	fields := map[string]any{"error": err.Error()}
	var stale *core.StaleEpochError
	if errors.As(err, &stale) {
		fields["epoch"] = stale.Epoch
	}
	body, _ := json.Marshal(fields) // strings and ints always marshal
	return httpResponse{status: statusOf(err), body: body}
}
