package httpfront

import "net/http"

// Paths and header fields are part of the protocol with clients, so some of their words differ from those in the code
// (see docs/GLOSSARY.md). Options.Pages adds further paths. The first segment of any other path names the class of a
// query. Names of fields are in lower case, as in httpRequest.header.
const (
	pathHealth    = "/_health"
	pathContracts = "/_contracts"

	fieldRequestID      = "x-request-id"
	fieldClass          = "x-class" // optional; must be the class in the path
	fieldTenant         = "x-tenant"
	fieldDeadline       = "x-deadline" // seconds for which the client waits, as a decimal fraction
	fieldClientRetry    = "x-retry"    // clientRetryValue for a client retry
	fieldIdempotencyKey = "idempotency-key"

	clientRetryValue = "1"

	bodyServing    = `{"status":"serving"}`
	bodyNotServing = `{"status":"not serving"}`
)

// usedFields are the fields that are read after the header has been parsed.
var usedFields = []string{
	fieldRequestID, fieldClass, fieldTenant, fieldDeadline, fieldClientRetry, fieldIdempotencyKey,
}

// isQuery reports whether a request is a query: a POST to another path than that of the health check or of the
// contracts.
func (r *httpRequest) isQuery() bool {
	return r.method == http.MethodPost && r.path != pathHealth && r.path != pathContracts
}

// route answers a request that is not a query.
func (c *connection) route(request *httpRequest) {
	c.ending.closeAfterOutput = request.closeRequested
	readOnly := request.method == http.MethodGet || request.method == http.MethodHead
	page := c.server.pages[request.path]
	switch {
	case page != nil && readOnly:
		c.respond(httpResponse{status: http.StatusOK, body: page()})
	case request.path != pathHealth && request.path != pathContracts:
		c.respond(errorResponse(errQueryNotPost))
	case !readOnly:
		c.respond(errorResponse(errPageIsReadOnly))
	case request.path == pathHealth:
		c.respond(c.server.healthResponse())
	default:
		c.respond(httpResponse{status: http.StatusOK, body: c.server.contractsPage()})
	}
}
