// Package adminapi serves the admin API (api/mgmt.yaml) on the broker's event loop, beside the clients' listener.
//
// It speaks HTTP/1.1 with one call per connection. Every call is answered within a second, whatever other callers do:
// a call that does not arrive in time, is too large or malformed is answered 4xx, and the number of connections is
// limited. Package adminops carries out the calls (see [Operations]).
//
//   - server.go: the listener, the limit on connections and their time limits.
//   - connection.go: the connection of one caller.
//   - request.go, response.go: parsing of requests and encoding of responses.
//   - route.go: the mapping from paths to operations.
//
// Paths and reasons are part of the API and keep the platform's words (/v1/leafs/, /v1/aggregator/).
package adminapi
