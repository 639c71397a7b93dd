package adminapi

import (
	"fmt"
	"net/http"
	"strconv"
)

// appendResponse appends an HTTP response whose body is a JSON object with "ok", which is true for a 2xx status, and
// "reason".
func appendResponse(out []byte, status int, reason string) []byte {
	ok := status >= 200 && status < 300
	body := fmt.Sprintf("{\"ok\":%t,\"reason\":%s}\n", ok, strconv.Quote(reason))
	return fmt.Appendf(out, "HTTP/1.1 %d %s\r\n"+
		"Content-Type: application/json\r\n"+
		"Content-Length: %d\r\n"+
		"Connection: close\r\n"+
		"\r\n%s", status, reasonPhrase(status), len(body), body)
}

// reasonPhrase returns the reason phrase of the status line. For 413 it is the one of RFC 9110, as net/http has an
// older one.
func reasonPhrase(status int) string {
	if status == http.StatusRequestEntityTooLarge {
		return "Content Too Large"
	}
	return http.StatusText(status)
}
