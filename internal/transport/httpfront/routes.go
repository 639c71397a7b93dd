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

// route answers a request, or submits it to core as a query.
func (c *connection) route(request *httpRequest) {
	c.ending.closeAfterOutput = request.closeRequested
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
		c.respond(errorResponse(errQueryNotPost))
	default:
		c.submit(request)
	}
}
