// Package adminapi is the operators' admin API: a second listener on the loop, HTTP/1.1 with one call per
// connection, whose answers say yes (2xx) or no (4xx, 5xx). What a call changes is decided elsewhere
// (Calls); the API reads calls within bounds, answers each within a second whatever the caller does, and
// closes.
package adminapi
