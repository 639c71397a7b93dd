package clients

import (
	"strconv"
)

var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large",
	431: "Request Header Fields Too Large",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// response is what a request is answered with.
type response struct {
	status       int
	body         []byte
	retryAfterMs float64 // ms; 0 for none
	close        bool
}

func (r response) appendTo(out []byte) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(r.status), 10)
	out = append(append(out, ' '), reasonPhrases[r.status]...)
	out = append(out, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(r.body)), 10)
	if r.retryAfterMs > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendFloat(out, r.retryAfterMs/1000, 'f', 3, 64)
	}
	if r.close {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, "\r\n\r\n"...)
	return append(out, r.body...)
}
