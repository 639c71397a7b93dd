package httpfront

import "net/http"

// Paths and header fields are the wire's and keep its words (docs/GLOSSARY.md). The first segment of any other path
// names the class of a query; Options.Pages adds pages. Names of fields are in lower case, as in httpRequest.header.
const (
	pathHealth    = "/_health"
	pathContracts = "/_contracts"

	fieldRequestID      = "x-request-id"
	fieldClass          = "x-class" // optional: the same class as the path
	fieldTenant         = "x-tenant"
	fieldDeadline       = "x-deadline" // seconds for which the client waits, as a decimal fraction
	fieldClientRetry    = "x-retry"    // clientRetryValue: the client asked before
	fieldIdempotencyKey = "idempotency-key"

	clientRetryValue = "1"

	bodyServing    = `{"status":"serving"}`
	bodyNotServing = `{"status":"not serving"}`
)

// route answers a request, or submits it to core as a query.
func (c *connection) route(request *httpRequest) {
	c.ending.afterOutput = request.closeAfter
	readOnly := request.method == http.MethodGet || request.method == http.MethodHead
	page := c.server.pages[request.path]
	switch {
	case page != nil && readOnly:
		c.respond(httpResponse{status: http.StatusOK, body: page()})
	case request.path == pathHealth || request.path == pathContracts:
		if !readOnly {
			c.respond(errorResponse(errPageIsReadOnly))
			return
		}
		if request.path == pathHealth {
			c.respond(c.server.healthResponse())
			return
		}
		c.respond(httpResponse{status: http.StatusOK, body: c.server.contractsPage()})
	case request.method != http.MethodPost:
		c.respond(errorResponse(errQueryIsNoPost))
	default:
		c.submit(request)
	}
}
