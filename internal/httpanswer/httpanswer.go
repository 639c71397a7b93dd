// Package httpanswer parses the HTTP/1.1 answers of the services that the broker asks: discovery and
// catalogues.
package httpanswer

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"
)

var errAnswer = errors.New("malformed answer")

// Parse takes one HTTP answer off in; size is 0 while it is not whole, last tells that no other follows on
// its connection. ended tells that its sender has closed the connection, with nothing to come: that is the
// end of an answer that says no length, where a reset ends none (RFC 9112, 6.3 and 8). An answer said to have
// more than most bytes is malformed.
func Parse(in []byte, most int, ended bool) (status int, body []byte, size int, last bool, err error) {
	end := bytes.Index(in, []byte("\r\n\r\n"))
	if end < 0 {
		return 0, nil, 0, false, nil
	}
	line, rest, _ := strings.Cut(string(in[:end]), "\r\n")
	f := strings.SplitN(line, " ", 3)
	if len(f) < 2 || !strings.HasPrefix(f[0], "HTTP/1.") {
		return 0, nil, 0, false, errAnswer
	}
	if status, err = strconv.Atoi(f[1]); err != nil {
		return 0, nil, 0, false, errAnswer
	}
	length, chunked := int64(-1), false
	last = f[0] == "HTTP/1.0"
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		switch value = strings.TrimSpace(value); strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.ParseInt(value, 10, 32); err != nil || length < 0 || length > int64(most) {
				return 0, nil, 0, false, errAnswer
			}
		case "transfer-encoding":
			chunked = strings.EqualFold(value, "chunked")
		case "connection":
			last = strings.EqualFold(value, "close") || last && !strings.EqualFold(value, "keep-alive")
		}
	}
	at := end + 4
	if !chunked && length < 0 {
		// What says that it failed is not waited for: its words count for nothing.
		if status == 200 && !ended {
			return 0, nil, 0, false, nil
		}
		return status, in[at:], len(in), true, nil
	}
	if !chunked {
		if len(in) < at+int(length) {
			return 0, nil, 0, false, nil
		}
		return status, in[at : at+int(length)], at + int(length), last, nil
	}
	for {
		end := bytes.Index(in[at:], []byte("\r\n"))
		if end < 0 {
			return 0, nil, 0, false, nil
		}
		text, _, _ := strings.Cut(string(in[at:at+end]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil || n > math.MaxInt32/2 || len(body)+int(n) > most {
			return 0, nil, 0, false, errAnswer
		}
		if at += end + 2; len(in) < at+int(n)+2 {
			return 0, nil, 0, false, nil
		}
		body = append(body, in[at:at+int(n)]...)
		if at += int(n) + 2; n == 0 {
			return status, body, at, last, nil
		}
	}
}
