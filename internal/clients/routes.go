package clients

const (
	pathHealth    = "/_health"
	pathContracts = "/_contracts"
)

// route answers a request, or hands it to core and waits.
func (c *connection) route(m *request) {
	c.ending.afterOutput = m.closeAfter
	page := c.server.pages[m.path]
	switch {
	case page != nil && (m.method == "GET" || m.method == "HEAD"):
		c.respond(response{status: 200, body: page()})
	case m.path == pathHealth || m.path == pathContracts:
		if m.method != "GET" && m.method != "HEAD" {
			c.respond(errorResponse(errPageIsReadOnly))
			return
		}
		r := response{status: 200, body: c.server.contractsPage()}
		if m.path == pathHealth {
			r = response{status: 200, body: []byte(`{"status":"serving"}`)}
			if !c.server.Healthy() {
				r = response{status: 503, body: []byte(`{"status":"not serving"}`)}
			}
		}
		c.respond(r)
	case m.method != "POST":
		c.respond(errorResponse(errQueryIsNoPost))
	default:
		c.submit(m)
	}
}
