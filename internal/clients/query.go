package clients

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"ternstage/internal/contract"
	"ternstage/internal/core"
)

// submit hands a query to core.
func (c *connection) submit(m *request) {
	class, _, _ := strings.Cut(m.path[1:], "/")
	if named, ok := m.header["x-class"]; ok && named != class {
		c.reject(fmt.Errorf("%w: the path and X-Class name two classes", errMalformed))
		return
	}
	wait := 0.0 // refused below as missing
	if text := m.header["x-deadline"]; strings.Trim(text, "0123456789.") == "" {
		wait, _ = strconv.ParseFloat(text, 64)
	}
	now := c.server.loop.Now()
	r, err := c.server.contracts.ParseQuery(contract.Envelope{ID: m.header["x-request-id"], Class: class,
		Tenant: m.header["x-tenant"], ClientTimeout: wait * 1000, ClientRetry: m.header["x-retry"] == "1",
		IdempotencyKey: m.header["idempotency-key"]}, m.body, now)
	if err == nil {
		r.Client = c
		c.open = r
		if err = c.server.core.Submit(r); err != nil {
			c.open = nil
		}
	}
	var stale *core.StaleEpochError
	switch {
	case err == nil:
	case errors.As(err, &stale), errors.Is(err, contract.ErrUnknownClass), errors.Is(err, contract.ErrUnknownTenant):
		c.respond(errorResponse(err))
	default:
		c.reject(err)
	}
}

// Finish implements core.Client. The rest of the buffer is parsed from the loop, not from here, as core may
// be in the middle of a turn.
func (c *connection) Finish(a core.Answer) {
	c.open = nil
	switch {
	case a.Kind == core.Answered:
		c.respond(response{status: 200, body: contract.EncodeAnswer(a)})
	case a.Kind == core.Rejected:
		r := errorResponse(errRejected)
		r.retryAfterMs = retryAfterMs(a)
		c.respond(r)
	case a.TimedOut:
		c.respond(errorResponse(errTimedOut))
	default:
		c.respond(errorResponse(errFailed))
	}
	c.servePosted = len(c.stream.In) > 0 && !c.ending.afterOutput
	c.flush()
	if !c.ending.closed && c.servePosted {
		c.server.loop.Post(func() {
			if c.servePosted = false; !c.ending.closed {
				c.serveBuffered()
				c.flush()
			}
		})
	}
}

// retryAfterMs is the advice of a refusal; at least a millisecond, the header's finest step.
func retryAfterMs(a core.Answer) float64 { return max(math.Ceil(a.RetryAfter), 1) }
