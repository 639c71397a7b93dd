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

	maxChunkLine = 1024
)

// What can be wrong with a request; each is answered and the connection closed.
var (
	errMalformed = errors.New("malformed request")
	errTooLarge  = errors.New("body over 64 KiB")
	errHead      = errors.New("header over 16 KiB")
	errSlow      = errors.New("the request did not come whole in time")
	errCrowded   = errors.New("no memory for a request that does not come whole")
	errEnding    = errors.New("the program ends, and the request did not come whole")
)

// message is one HTTP request.
type message struct {
	method, path string
	header       map[string]string // by lower-case name; of repeated fields the first
	body         []byte
	close        bool
	expect       bool // it waits for 100 Continue
}

// parser takes requests off a connection's input. It keeps what it has understood of the one that is
// coming, so that each byte is dealt with once: guards the loop against clients that send theirs one by
// one.
type parser struct {
	m    *message // set once its head is whole
	at   int      // bytes of the input dealt with
	body int      // length of a sized body; -1 for chunks
	tail int      // where the trailer of a chunked body begins; 0 before the last chunk
}

// next takes one request off in, which must be what the last call saw and more. size is 0 while it is not
// whole.
func (p *parser) next(in []byte) (m *message, size int, err error) {
	if p.m == nil {
		if err := p.head(in); p.m == nil || err != nil {
			return nil, 0, err
		}
	}
	m = p.m
	if p.body >= 0 {
		if size = p.at + p.body; len(in) < size {
			return nil, 0, nil
		}
		m.body = in[p.at:size]
	} else if size, err = p.unchunk(in); size == 0 || err != nil {
		return nil, 0, err
	}
	*p = parser{}
	return m, size, nil
}

// head reads the head once it is whole.
func (p *parser) head(in []byte) error {
	start := 0
	for start < len(in) && (in[start] == '\r' || in[start] == '\n') && start < 4 {
		start++ // an empty line before a request is passed over
	}
	from := max(start, p.at-3)
	end := bytes.Index(in[from:], []byte("\r\n\r\n"))
	if p.at = len(in); end < 0 {
		if len(in) > maxHead {
			return errHead
		}
		return nil
	}
	if end += from; end-start > maxHead {
		return errHead
	}
	m := &message{header: map[string]string{}}
	line, fields, _ := strings.Cut(string(in[start:end]), "\r\n")
	f := strings.Split(line, " ")
	if len(f) != 3 || !token(f[0]) || !strings.HasPrefix(f[1], "/") ||
		f[2] != "HTTP/1.1" && f[2] != "HTTP/1.0" {
		return errMalformed
	}
	m.method, m.close = f[0], f[2] == "HTTP/1.0"
	m.path, _, _ = strings.Cut(f[1], "?")
	if err := m.fields(fields); err != nil {
		return err
	}
	for _, t := range strings.Split(m.header["connection"], ",") {
		m.close = m.close || strings.EqualFold(strings.TrimSpace(t), "close")
	}
	m.expect = strings.EqualFold(m.header["expect"], "100-continue")
	coding, chunked := m.header["transfer-encoding"]
	length, sized := m.header["content-length"]
	if chunked && (sized || !strings.EqualFold(coding, "chunked")) {
		return errMalformed // two lengths: guards against smuggled requests
	}
	p.body = 0
	if chunked {
		p.body = -1
	} else if sized {
		n, err := strconv.ParseUint(length, 10, 63)
		if err != nil {
			return errMalformed
		}
		if n > maxBody {
			return errTooLarge
		}
		p.body = int(n)
	}
	p.m, p.at = m, end+4
	return nil
}

// token tells that s is a word as HTTP has them: guards against names that another parser would read
// otherwise.
func token(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}

func (m *message) fields(text string) error {
	n := 0
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if n++; !ok || !token(name) || n > maxFields ||
			strings.ContainsAny(value, "\r\n\x00") {
			return errMalformed
		}
		name, value = strings.ToLower(name), strings.Trim(value, " \t")
		if old, twice := m.header[name]; twice {
			if name == "content-length" && old != value || name == "transfer-encoding" ||
				strings.HasPrefix(name, "x-") {
				return errMalformed
			}
			continue
		}
		m.header[name] = value
	}
	return nil
}

// unchunk reads a chunked body on; size is 0 while it is not whole.
func (p *parser) unchunk(in []byte) (size int, err error) {
	for p.tail == 0 {
		end := bytes.Index(in[p.at:], []byte("\r\n"))
		if end < 0 {
			if len(in)-p.at > maxChunkLine {
				return 0, errMalformed
			}
			return 0, nil
		}
		text, _, _ := strings.Cut(string(in[p.at:p.at+end]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil {
			return 0, errMalformed
		}
		at := p.at + end + 2
		if n == 0 {
			p.at, p.tail = at, at
			break
		}
		if len(p.m.body)+int(n) > maxBody {
			return 0, errTooLarge
		}
		if len(in) < at+int(n)+2 {
			return 0, nil
		}
		p.m.body = append(p.m.body, in[at:at+int(n)]...)
		if at += int(n); in[at] != '\r' || in[at+1] != '\n' {
			return 0, errMalformed
		}
		p.at = at + 2
	}
	// The trailer is passed over.
	for {
		end := bytes.Index(in[p.at:], []byte("\r\n"))
		if end < 0 {
			if len(in)-p.tail > maxHead {
				return 0, errHead
			}
			return 0, nil
		}
		if p.at += end + 2; end == 0 {
			return p.at, nil
		}
	}
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
	405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large",
	431: "Request Header Fields Too Large",
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
