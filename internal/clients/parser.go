package clients

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes = 64 << 10
)

// requestParser takes requests off a connection's input. It keeps what it has understood of the one that is
// coming, so that each byte is dealt with once: guards the loop against clients that send theirs one by
// one.
type requestParser struct {
	m    *request // set once its head is whole
	at   int      // bytes of the input dealt with
	body int      // length of a sized body; -1 for chunks
	tail int      // where the trailer of a chunked body begins; 0 before the last chunk
}

// next takes one request off in, which must be what the last call saw and more. size is 0 while it is not
// whole.
func (p *requestParser) next(in []byte) (m *request, size int, err error) {
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
	*p = requestParser{}
	return m, size, nil
}

// head reads the head once it is whole.
func (p *requestParser) head(in []byte) error {
	start := 0
	for start < len(in) && (in[start] == '\r' || in[start] == '\n') && start < 4 {
		start++ // an empty line before a request is passed over
	}
	from := max(start, p.at-3)
	end := bytes.Index(in[from:], []byte("\r\n\r\n"))
	if p.at = len(in); end < 0 {
		if len(in) > maxHeaderBytes {
			return errHeaderTooLarge
		}
		return nil
	}
	if end += from; end-start > maxHeaderBytes {
		return errHeaderTooLarge
	}
	m := &request{header: map[string]string{}}
	line, fields, _ := strings.Cut(string(in[start:end]), "\r\n")
	f := strings.Split(line, " ")
	if len(f) != 3 || !isToken(f[0]) || !strings.HasPrefix(f[1], "/") ||
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
		if n > maxBodyBytes {
			return errBodyTooLarge
		}
		p.body = int(n)
	}
	p.m, p.at = m, end+4
	return nil
}
