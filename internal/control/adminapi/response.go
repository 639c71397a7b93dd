package adminapi

import (
	"fmt"
	"net/http"
	"strconv"
)

// appendResponse appends an answer: a JSON object with "ok", which is true for a 2xx status, and "reason".
func appendResponse(out []byte, status int, reason string) []byte {
	ok := status >= 200 && status < 300
	body := fmt.Sprintf("{\"ok\":%t,\"reason\":%s}\n", ok, strconv.Quote(reason))
	return fmt.Appendf(out, "HTTP/1.1 %d %s\r\n"+
		"Content-Type: application/json\r\n"+
		"Content-Length: %d\r\n"+
		"Connection: close\r\n"+
		"\r\n%s", status, reasonPhrase(status), len(body), body)
}

// reasonPhrase returns the phrase of the status line. That of 413 is RFC 9110's; net/http has an older one.
func reasonPhrase(status int) string {
	if status == http.StatusRequestEntityTooLarge {
		return "Content Too Large"
	}
	return http.StatusText(status)
}
