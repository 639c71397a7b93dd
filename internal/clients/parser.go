package clients

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 10
)

// requestParser takes requests off a connection's input. It keeps what it has understood of the one that is
// coming, so that each byte is dealt with once: guards the loop against clients that send theirs one by
// one.
type requestParser struct {
	request      *request // set once its head is whole
	parsedBytes  int      // bytes of the input dealt with
	bodyBytes    int      // length of a sized body; -1 for chunks
	trailerStart int      // where the trailer of a chunked body begins; 0 before the last chunk
}

// next takes one request off in, which must be what the last call saw and more. size is 0 while it is not
// whole.
func (p *requestParser) next(in []byte) (m *request, size int, err error) {
	if p.request == nil {
		if err := p.parseHeader(in); p.request == nil || err != nil {
			return nil, 0, err
		}
	}
	m = p.request
	if p.bodyBytes >= 0 {
		if size = p.parsedBytes + p.bodyBytes; len(in) < size {
			return nil, 0, nil
		}
		m.body = in[p.parsedBytes:size]
	} else if size, err = p.parseChunks(in); size == 0 || err != nil {
		return nil, 0, err
	}
	*p = requestParser{}
	return m, size, nil
}

// parseHeader reads the head once it is whole.
func (p *requestParser) parseHeader(in []byte) error {
	start := 0
	for start < len(in) && (in[start] == '\r' || in[start] == '\n') && start < 4 {
		start++ // an empty line before a request is passed over
	}
	from := max(start, p.parsedBytes-3)
	end := bytes.Index(in[from:], []byte("\r\n\r\n"))
	if p.parsedBytes = len(in); end < 0 {
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
	m.method, m.closeAfter = f[0], f[2] == "HTTP/1.0"
	m.path, _, _ = strings.Cut(f[1], "?")
	if err := m.parseFields(fields); err != nil {
		return err
	}
	for _, t := range strings.Split(m.header["connection"], ",") {
		m.closeAfter = m.closeAfter || strings.EqualFold(strings.TrimSpace(t), "close")
	}
	m.expectContinue = strings.EqualFold(m.header["expect"], "100-continue")
	coding, chunked := m.header["transfer-encoding"]
	length, sized := m.header["content-length"]
	if chunked && (sized || !strings.EqualFold(coding, "chunked")) {
		return errMalformed // two lengths: guards against smuggled requests
	}
	p.bodyBytes = 0
	if chunked {
		p.bodyBytes = -1
	} else if sized {
		n, err := strconv.ParseUint(length, 10, 63)
		if err != nil {
			return errMalformed
		}
		if n > maxBodyBytes {
			return errBodyTooLarge
		}
		p.bodyBytes = int(n)
	}
	p.request, p.parsedBytes = m, end+4
	return nil
}
