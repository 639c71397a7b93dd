package httpfront

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"ternstage/internal/contract"
	"ternstage/internal/core"
)

// submit submits a query to core, or answers with an error if it is invalid.
//
// An unknown class, an unknown tenant or a stale epoch does not affect the next request, so the connection is kept.
// After any other error it is closed.
func (c *connection) submit(query *queuedQuery) {
	err := c.trySubmit(query)
	var stale *core.StaleEpochError
	switch {
	case err == nil:
	case errors.As(err, &stale), errors.Is(err, contract.ErrUnknownClass), errors.Is(err, contract.ErrUnknownTenant):
		c.respond(errorResponse(err))
	default:
		c.reject(err)
	}
}

// trySubmit submits a query to core. If it returns an error, nothing was submitted. Core may call Deliver before
// trySubmit returns.
func (c *connection) trySubmit(query *queuedQuery) error {
	coreRequest, err := c.server.contracts.ParseQuery(query.envelope, query.body, query.arrivedAtMs)
	if err != nil {
		return err
	}
	coreRequest.Client = c
	c.openRequest = coreRequest // before Submit: Deliver clears it
	err = c.server.core.Submit(coreRequest)
	if err != nil {
		c.openRequest = nil
	}
	return err
}

// parseEnvelope reads the envelope of a query from the path and the header. Missing or malformed fields are left
// zero, for contract.Contracts.ParseQuery to reject. The error wraps errMalformed.
func parseEnvelope(request *httpRequest) (contract.Envelope, error) {
	class, _, _ := strings.Cut(request.path[len("/"):], "/")
	headerClass, ok := request.header[fieldClass]
	if ok && headerClass != class {
		return contract.Envelope{}, fmt.Errorf("%w: the path and X-Class name two classes", errMalformed)
	}
	return contract.Envelope{
		ID:             request.header[fieldRequestID],
		Class:          class,
		Tenant:         request.header[fieldTenant],
		ClientTimeout:  parseSeconds(request.header[fieldDeadline]) * msPerSecond,
		ClientRetry:    request.header[fieldClientRetry] == clientRetryValue,
		IdempotencyKey: request.header[fieldIdempotencyKey],
	}, nil
}

// parseSeconds parses a decimal fraction without sign or exponent. It returns 0 for any other text.
func parseSeconds(text string) float64 {
	if strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	seconds, _ := strconv.ParseFloat(text, 64)
	return seconds
}

// Deliver implements core.Client. It does not call back into core: a query behind the answered one is only queued.
func (c *connection) Deliver(answer core.Answer) {
	c.openRequest = nil
	c.respond(answerResponse(answer))
	c.flush()
}

// answerResponse returns the response for a final answer.
func answerResponse(answer core.Answer) httpResponse {
	switch {
	case answer.Kind == core.Answered:
		return httpResponse{status: http.StatusOK, body: contract.EncodeAnswer(answer)}
	case answer.Kind == core.Rejected:
		response := errorResponse(errRejected)
		response.retryAfterMs = max(math.Ceil(answer.RetryAfter), 1) // the header's resolution is 1 ms
		return response
	case answer.TimedOut:
		return errorResponse(errTimedOut)
	}
	return errorResponse(errFailed)
}
