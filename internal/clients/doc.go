// Package clients is the thin front of the platform: an HTTP/1.1 server on the loop, with a parser of its
// own, that hands queries to core and writes their answers.
package clients
