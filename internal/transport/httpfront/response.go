package httpfront

import (
	"net/http"
	"strconv"
)

const msPerSecond = 1000

// httpResponse is the response to a request. Its body is a JSON document.
type httpResponse struct {
	status          int
	body            []byte
	retryAfterMs    float64 // 0 for none; sent in seconds with three decimals
	closeConnection bool    // it is the last response of the connection (RFC 9112, 9.6)
}

// appendTo appends the encoded response to out.
func (r httpResponse) appendTo(out []byte) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(r.status), 10)
	out = append(out, ' ')
	out = append(out, reasonPhrase(r.status)...)
	out = append(out, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(r.body)), 10)
	if r.retryAfterMs > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendFloat(out, r.retryAfterMs/msPerSecond, 'f', 3, 64)
	}
	if r.closeConnection {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, headerEnd...)
	return append(out, r.body...)
}

// reasonPhrase returns the reason phrase of the status line. For 413 it is the one of RFC 9110, as net/http has an
// older one.
func reasonPhrase(status int) string {
	if status == http.StatusRequestEntityTooLarge {
		return "Content Too Large"
	}
	return http.StatusText(status)
}
