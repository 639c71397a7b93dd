// Package httpresponse parses the HTTP/1.1 responses of discovery and of the shard catalogue from the input buffer of
// a connection on the event loop. It does no I/O and keeps no state: the caller passes the whole buffer each time
// that more input has arrived, and drops Response.Size bytes from the buffer once a response is complete.
package httpresponse
