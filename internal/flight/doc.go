// Package flight is the Arrow Flight side of the broker: a front that takes queries by DoGet, and a back end
// that asks rate nodes by DoGet. gRPC runs goroutines of its own; they stay in this package and meet the
// decisions only through the loop's Post. It is off unless deploy/flight.toml switches it on.
package flight
