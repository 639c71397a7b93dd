// Package adminapi serves the admin API (api/mgmt.yaml) on the broker's event loop, beside the clients' listener.
//
// It speaks HTTP/1.1 with one call per connection. Every call is answered within a second, whatever other callers do:
// a call that does not arrive in time, is too large or malformed is answered 4xx, and the number of connections is
// bounded. Package adminops carries the calls out (see [Operations]).
//
//   - server.go: the listener, the bound on connections and their time limits.
//   - connection.go: one caller, from its call to the close.
//   - request.go, response.go: HTTP.
//   - route.go: which operation a path names.
//
// Paths and reasons are part of the API and keep the platform's words (/v1/leafs/, /v1/aggregator/).
package adminapi
