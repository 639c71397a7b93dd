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

// submit submits a query to core, or answers what is wrong with it.
//
// A class, a tenant or an epoch that is not known may be known to the next request: the connection is kept. After any
// other error it ends.
func (c *connection) submit(request *httpRequest) {
	err := c.trySubmit(request)
	var stale *core.StaleEpochError
	switch {
	case err == nil:
	case errors.As(err, &stale), errors.Is(err, contract.ErrUnknownClass), errors.Is(err, contract.ErrUnknownTenant):
		c.respond(errorResponse(err))
	default:
		c.reject(err)
	}
}

// trySubmit submits a query to core. On an error nothing was submitted. Core may call Deliver from within it.
func (c *connection) trySubmit(request *httpRequest) error {
	envelope, err := parseEnvelope(request)
	if err != nil {
		return err
	}
	query, err := c.server.contracts.ParseQuery(envelope, request.body, c.server.loop.Now())
	if err != nil {
		return err
	}
	query.Client = c
	c.open = query // before Submit: Deliver clears it
	err = c.server.core.Submit(query)
	if err != nil {
		c.open = nil
	}
	return err
}

// parseEnvelope reads what the path and the header say of a query. Fields that are missing or malformed are left zero,
// for contract.Contracts.ParseQuery to reject. The error wraps errMalformed.
func parseEnvelope(request *httpRequest) (contract.Envelope, error) {
	class, _, _ := strings.Cut(request.path[len("/"):], "/")
	named, ok := request.header[fieldClass]
	if ok && named != class {
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

// parseSeconds parses a decimal fraction without sign or exponent. It is 0 for anything else.
func parseSeconds(text string) float64 {
	if strings.Trim(text, "0123456789.") != "" {
		return 0
	}
	seconds, _ := strconv.ParseFloat(text, 64)
	return seconds
}

// Deliver implements core.Client. Requests behind the answered one are served from the loop, not from here: core is
// in the middle of a scheduling round, or of Submit.
func (c *connection) Deliver(answer core.Answer) {
	c.open = nil
	c.respond(answerResponse(answer))
	c.servePosted = len(c.stream.In) > 0 && !c.ending.afterOutput
	c.flush()
	if c.ending.closed || !c.servePosted {
		return
	}
	c.server.loop.Post(func() {
		c.servePosted = false
		if c.ending.closed {
			return
		}
		c.serveBuffered()
		c.flush()
	})
}

// answerResponse makes the response of a final answer.
func answerResponse(answer core.Answer) httpResponse {
	switch {
	case answer.Kind == core.Answered:
		return httpResponse{status: http.StatusOK, body: contract.EncodeAnswer(answer)}
	case answer.Kind == core.Rejected:
		response := errorResponse(errRejected)
		response.retryAfterMs = max(math.Ceil(answer.RetryAfter), 1) // 1 ms is the header's finest step
		return response
	case answer.TimedOut:
		return errorResponse(errTimedOut)
	}
	return errorResponse(errFailed)
}
