package httpfront

import (
	"bytes"
	"strings"
)

const (
	// maxHeaderBytes is the maximum size in bytes of the request line with the header fields, and also of a trailer. A
	// larger one is answered 431.
	maxHeaderBytes = 16 << 10
	// maxBodyBytes is the maximum size in bytes of a body, without the framing of chunks. A larger one is answered 413.
	maxBodyBytes = 64 << 10
	// maxLeadingBytes is the maximum number of bytes of empty lines that are skipped before a request (RFC 9112, 2.2).
	maxLeadingBytes = 4

	lineEnd   = "\r\n"
	headerEnd = "\r\n\r\n"
)

// requestParser parses the requests at the beginning of a connection's input. It keeps its position between calls, so
// that each byte is parsed only once. Otherwise clients that send single bytes would take too much of the loop's
// time.
//
// The zero value is ready to parse a request.
type requestParser struct {
	request      *httpRequest // nil until its header has arrived
	parsedBytes  int          // of the input; until the header has arrived, the bytes searched for its end
	bodyBytes    int          // size of the body, or bodyIsChunked
	trailerStart int          // where the trailer of a chunked body begins in the input; 0 before the last chunk
}

// next parses one request from in, which must begin with the input of the last call. After a call that returned a
// request, in must instead begin right behind that request. sizeBytes is the size of the request in the input, or 0
// until all of it has arrived. The body may alias in. Errors wrap errMalformed, errHeaderTooLarge or errBodyTooLarge;
// after an error the parser must not be used.
func (p *requestParser) next(in []byte) (parsed *httpRequest, sizeBytes int, err error) {
	if p.request == nil {
		err := p.parseHeader(in)
		if p.request == nil || err != nil {
			return nil, 0, err
		}
	}
	sizeBytes, err = p.parseBody(in)
	if sizeBytes == 0 || err != nil {
		return nil, 0, err
	}
	parsed = p.request
	*p = requestParser{}
	return parsed, sizeBytes, nil
}

// parseHeader sets p.request and p.bodyBytes once the header has arrived.
func (p *requestParser) parseHeader(in []byte) error {
	start := 0
	for start < len(in) && start < maxLeadingBytes && (in[start] == '\r' || in[start] == '\n') {
		start++
	}
	searchStart := max(start, p.parsedBytes-(len(headerEnd)-1))
	end := bytes.Index(in[searchStart:], []byte(headerEnd))
	p.parsedBytes = len(in)
	if end < 0 {
		if len(in) > maxHeaderBytes {
			return errHeaderTooLarge
		}
		return nil
	}
	end += searchStart
	if end-start > maxHeaderBytes {
		return errHeaderTooLarge
	}
	line, fields, _ := strings.Cut(string(in[start:end]), lineEnd)
	parsed, err := parseRequestLine(line)
	if err != nil {
		return err
	}
	if err := parsed.parseFields(fields); err != nil {
		return err
	}
	bodyBytes, err := parsed.announcedBodyBytes()
	if err != nil {
		return err
	}
	parsed.dropUnusedFields()
	p.request = parsed
	p.bodyBytes = bodyBytes
	p.parsedBytes = end + len(headerEnd)
	return nil
}

// parseBody sets the body of p.request. It returns the size in bytes of the request, or 0 until all of it has
// arrived.
func (p *requestParser) parseBody(in []byte) (int, error) {
	if p.bodyBytes == bodyIsChunked {
		return p.parseChunks(in)
	}
	sizeBytes := p.parsedBytes + p.bodyBytes
	if len(in) < sizeBytes {
		return 0, nil
	}
	p.request.body = in[p.parsedBytes:sizeBytes]
	return sizeBytes, nil
}
