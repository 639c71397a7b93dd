package clients

import (
	"fmt"
)

const (
	pathHealth    = "/_health"
	pathContracts = "/_contracts"
)

// serve answers a request, or hands it to core and waits.
func (c *connection) serve(m *request) {
	c.last = m.close
	page := c.server.pages[m.path]
	switch {
	case page != nil && (m.method == "GET" || m.method == "HEAD"):
		c.reply(response{status: 200, body: page()})
	case m.path == pathHealth || m.path == pathContracts:
		if m.method != "GET" && m.method != "HEAD" {
			c.reply(response{status: 405, body: errorBody(fmt.Errorf("GET only"))})
			return
		}
		r := response{status: 200, body: c.server.contracts()}
		if m.path == pathHealth {
			r = response{status: 200, body: []byte(`{"status":"serving"}`)}
			if !c.server.Healthy() {
				r = response{status: 503, body: []byte(`{"status":"not serving"}`)}
			}
		}
		c.reply(r)
	case m.method != "POST":
		c.reply(response{status: 405, body: errorBody(fmt.Errorf("a query is a POST"))})
	default:
		c.query(m)
	}
}
