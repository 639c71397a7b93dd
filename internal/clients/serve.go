package clients

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"

	"ternstage/internal/contract"
	"ternstage/internal/core"
)

// Paths beside those of the classes.
const (
	pathHealth    = "/_health"
	pathContracts = "/_contracts"
)

// serve answers a request, or hands it to core and waits.
func (c *conn) serve(m *message) {
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

// query hands a query to core.
func (c *conn) query(m *message) {
	class, _, _ := strings.Cut(m.path[1:], "/")
	if named, ok := m.header["x-class"]; ok && named != class {
		c.reject(400, fmt.Errorf("%w: the path and X-Class name two classes", errMalformed))
		return
	}
	wait := 0.0 // refused below as missing
	if text := m.header["x-deadline"]; strings.Trim(text, "0123456789.") == "" {
		wait, _ = strconv.ParseFloat(text, 64)
	}
	now := c.server.loop.Now()
	r, err := c.server.book.ParseQuery(contract.Envelope{ID: m.header["x-request-id"], Class: class,
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
	case errors.As(err, &stale):
		c.reply(response{status: 400, body: staleBody(stale)})
	case errors.Is(err, contract.ErrUnknownClass):
		c.reply(response{status: 404, body: errorBody(err)})
	case errors.Is(err, contract.ErrUnknownTenant):
		c.reply(response{status: 403, body: errorBody(err)})
	default:
		c.reject(400, err)
	}
}

// staleBody tells a client whose idea of the slices is too old which epoch is in use.
func staleBody(err *core.StaleEpochError) []byte {
	text, _ := json.Marshal(map[string]any{"error": err.Error(), "epoch": err.Epoch})
	return text
}

// Finish implements core.Client. The rest of the buffer is parsed from the loop, not from here, as core may
// be in the middle of a turn.
func (c *conn) Finish(a core.Answer) {
	c.open = nil
	switch {
	case a.Kind == core.Answered:
		c.reply(response{status: 200, body: contract.EncodeAnswer(a)})
	case a.Kind == core.Rejected:
		c.reply(response{status: 503, body: []byte(`{"error":"refused"}`), retryAfter: retryAfterOf(a)})
	case a.TimedOut:
		c.reply(response{status: 504, body: []byte(`{"error":"timed out"}`)})
	default:
		c.reply(response{status: 502, body: []byte(`{"error":"failed"}`)})
	}
	c.more = len(c.s.In) > 0 && !c.last
	c.write()
	if !c.closed && c.more {
		c.server.loop.Post(func() {
			if c.more = false; !c.closed {
				c.parse()
				c.write()
			}
		})
	}
}

type contractsBody struct {
	Classes []contract.Class  `json:"classes"`
	Tenants []contract.Tenant `json:"tenants"`
	Taken   map[string]uint64 `json:"taken"`
}

// contracts shows the teams what was agreed and what has been taken under it.
func (s *Server) contracts() []byte {
	b := contractsBody{Classes: s.book.Classes, Tenants: s.book.Tenants, Taken: map[string]uint64{}}
	for i, t := range s.book.Tenants {
		b.Taken[t.Name] = s.book.AcceptedByTenant[i]
	}
	text, err := json.Marshal(b)
	if err != nil {
		return errorBody(err)
	}
	return text
}

func errorBody(err error) []byte {
	text, _ := json.Marshal(map[string]string{"error": err.Error()})
	return text
}

func addressOf(sa unix.Sockaddr) string {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)).String()
	}
	return ""
}
