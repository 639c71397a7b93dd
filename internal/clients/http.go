// Package clients is the thin front of the platform: an HTTP/1.1 server on the loop, with a parser of its
// own, that hands queries to core and writes their answers.
package clients

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// Bounds on what a client may send.
const (
	maxHead   = 16 << 10
	maxBody   = 64 << 10
	maxFields = 100
)

// What can be wrong with a request; each is answered and the connection closed.
var (
	errMalformed = errors.New("malformed request")
	errTooLarge  = errors.New("body over 64 KiB")
	errHead      = errors.New("header over 16 KiB")
)

// message is one HTTP request.
type message struct {
	method, path string
	header       map[string]string // by lower-case name; of repeated fields the first
	body         []byte
	close        bool
	expect       bool // it waits for 100 Continue
}

// parse takes one request off in. size is 0 while it is not whole; m is then set once its head is.
func parse(in []byte) (m *message, size int, err error) {
	start := 0
	for start < len(in) && (in[start] == '\r' || in[start] == '\n') && start < 4 {
		start++ // an empty line before a request is passed over
	}
	end := bytes.Index(in[start:], []byte("\r\n\r\n"))
	if end < 0 {
		if len(in) > maxHead {
			return nil, 0, errHead
		}
		return nil, 0, nil
	}
	if end > maxHead {
		return nil, 0, errHead
	}
	head, at := string(in[start:start+end]), start+end+4
	m = &message{header: map[string]string{}}
	line, fields, _ := strings.Cut(head, "\r\n")
	f := strings.Split(line, " ")
	if len(f) != 3 || f[0] == "" || !strings.HasPrefix(f[1], "/") || f[2] != "HTTP/1.1" && f[2] != "HTTP/1.0" {
		return nil, 0, errMalformed
	}
	m.method, m.close = f[0], f[2] == "HTTP/1.0"
	m.path, _, _ = strings.Cut(f[1], "?")
	if err := m.fields(fields); err != nil {
		return nil, 0, err
	}
	for _, t := range strings.Split(m.header["connection"], ",") {
		m.close = m.close || strings.EqualFold(strings.TrimSpace(t), "close")
	}
	m.expect = strings.EqualFold(m.header["expect"], "100-continue")
	coding, chunked := m.header["transfer-encoding"]
	length, sized := m.header["content-length"]
	switch {
	case chunked && (sized || !strings.EqualFold(coding, "chunked")):
		return nil, 0, errMalformed // two lengths: guards against smuggled requests
	case chunked:
		body, n, err := unchunk(in[at:])
		if err != nil || n == 0 {
			return m, 0, err
		}
		m.body = body
		return m, at + n, nil
	case sized:
		n, err := strconv.ParseUint(length, 10, 31)
		if err != nil {
			return nil, 0, errMalformed
		}
		if n > maxBody {
			return nil, 0, errTooLarge
		}
		if len(in) < at+int(n) {
			return m, 0, nil
		}
		m.body = in[at : at+int(n)]
		return m, at + int(n), nil
	}
	return m, at, nil
}

func (m *message) fields(text string) error {
	n := 0
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if n++; !ok || name == "" || strings.ContainsAny(name, " \t\r\n\x00") || n > maxFields ||
			strings.ContainsAny(value, "\r\n\x00") {
			return errMalformed
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if old, twice := m.header[name]; twice {
			if name == "content-length" && old != value || name == "transfer-encoding" {
				return errMalformed
			}
			continue
		}
		m.header[name] = value
	}
	return nil
}

// unchunk reads a chunked body; n is 0 while it is not whole.
func unchunk(in []byte) (body []byte, n int, err error) {
	for at := 0; ; {
		end := bytes.Index(in[at:], []byte("\r\n"))
		if end < 0 {
			if len(in)-at > 1024 {
				return nil, 0, errMalformed
			}
			return nil, 0, nil
		}
		text, _, _ := strings.Cut(string(in[at:at+end]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil {
			return nil, 0, errMalformed
		}
		if at += end + 2; size == 0 {
			return trailer(in, at, body)
		}
		if len(body)+int(size) > maxBody {
			return nil, 0, errTooLarge
		}
		if len(in) < at+int(size)+2 {
			return nil, 0, nil
		}
		body = append(body, in[at:at+int(size)]...)
		if at += int(size); in[at] != '\r' || in[at+1] != '\n' {
			return nil, 0, errMalformed
		}
		at += 2
	}
}

// trailer passes over the fields after the last chunk.
func trailer(in []byte, at int, body []byte) ([]byte, int, error) {
	for from := at; ; {
		end := bytes.Index(in[at:], []byte("\r\n"))
		if end < 0 {
			if len(in)-from > maxHead {
				return nil, 0, errHead
			}
			return nil, 0, nil
		}
		if at += end + 2; end == 0 {
			return body, at, nil
		}
	}
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 413: "Content Too Large", 431: "Request Header Fields Too Large",
	502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"}

// response is what a request is answered with.
type response struct {
	status     int
	body       []byte
	retryAfter float64 // ms; 0 for none
	close      bool
}

func (r response) append(out []byte) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(r.status), 10)
	out = append(append(out, ' '), reasons[r.status]...)
	out = append(out, "\r\nContent-Type: application/json\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(r.body)), 10)
	if r.retryAfter > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendFloat(out, r.retryAfter/1000, 'f', 3, 64)
	}
	if r.close {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, "\r\n\r\n"...)
	return append(out, r.body...)
}
