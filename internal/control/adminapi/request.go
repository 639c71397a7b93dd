package adminapi

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

const (
	// MaxHeaderBytes is the maximum size in bytes of the request line and the header fields. A larger one is answered
	// 431.
	MaxHeaderBytes = 4 << 10
	// MaxBodyBytes is the maximum size in bytes of a body. No call needs a body, and it is discarded. A larger one is
	// answered 413.
	MaxBodyBytes = 4 << 10

	// maxReadBytes is one byte more than the largest call, so that a larger one is detected.
	maxReadBytes = MaxHeaderBytes + MaxBodyBytes + 1

	// bodyIsChunked takes the place of the size of a chunked body, which is unknown until the last chunk arrives.
	bodyIsChunked = -1

	lineEnd   = "\r\n"
	headerEnd = "\r\n\r\n"
	lastChunk = "\r\n0\r\n\r\n"
)

// These texts are part of the admin API: they are sent as reasons.
var (
	errHeaderTooLarge = fmt.Errorf("head over %d bytes", MaxHeaderBytes)
	errBodyTooLarge   = fmt.Errorf("body over %d bytes", MaxBodyBytes)
	errMalformed      = errors.New("malformed call")
)

// request is a call whose header has arrived, or the zero value before that.
type request struct {
	method string
	path   string // without the query
	// sizeBytes is the size of header and body together; 0 while it is unknown.
	sizeBytes int
}

// hasArrived reports whether the whole request is within the first receivedBytes.
func (r request) hasArrived(receivedBytes int) bool {
	return r.sizeBytes > 0 && receivedBytes >= r.sizeBytes
}

// parseRequest parses the request at the beginning of in. It returns the zero request while the size of the request
// is unknown. Errors wrap errHeaderTooLarge, errBodyTooLarge or errMalformed.
func parseRequest(in []byte) (request, error) {
	end := bytes.Index(in, []byte(headerEnd))
	if end > MaxHeaderBytes || end < 0 && len(in) > MaxHeaderBytes {
		return request{}, errHeaderTooLarge
	}
	if end < 0 {
		return request{}, nil
	}
	line, fields, _ := strings.Cut(string(in[:end]), lineEnd)
	method, path, err := parseRequestLine(line)
	if err != nil {
		return request{}, err
	}
	bodyBytes, err := parseBodySize(fields)
	if err != nil {
		return request{}, err
	}
	if bodyBytes != bodyIsChunked {
		return request{method: method, path: path, sizeBytes: end + len(headerEnd) + bodyBytes}, nil
	}
	sizeBytes, err := chunkedSize(in, end)
	if err != nil || sizeBytes == 0 {
		return request{}, err
	}
	return request{method: method, path: path, sizeBytes: sizeBytes}, nil
}

func parseRequestLine(line string) (method, path string, err error) {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[1], "/") || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return "", "", fmt.Errorf("%w: request line %q", errMalformed, line)
	}
	path, _, _ = strings.Cut(parts[1], "?")
	return parts[0], path, nil
}

// parseBodySize returns the size in bytes of the body according to the header fields: 0 if they announce no body, and
// bodyIsChunked for a chunked one. If several fields announce a body, the last one counts.
func parseBodySize(fields string) (int, error) {
	bodyBytes := 0
	for field := range strings.SplitSeq(fields, lineEnd) {
		name, value, ok := strings.Cut(field, ":")
		if !ok {
			return 0, fmt.Errorf("%w: field %q", errMalformed, field)
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			length, err := strconv.ParseUint(value, 10, 31)
			if err != nil {
				return 0, fmt.Errorf("%w: Content-Length %q", errMalformed, value)
			}
			if length > MaxBodyBytes {
				return 0, errBodyTooLarge
			}
			bodyBytes = int(length)
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return 0, fmt.Errorf("%w: Transfer-Encoding %q", errMalformed, value)
			}
			bodyBytes = bodyIsChunked
		}
	}
	return bodyBytes, nil
}

// chunkedSize returns the size in bytes of a request with a chunked body, or 0 if the last chunk has not arrived.
// headerBytes is the size of the header without headerEnd. Chunks are not parsed, as the body is discarded: the body
// ends with the first lastChunk, which may follow the header directly.
func chunkedSize(in []byte, headerBytes int) (int, error) {
	bodyStart := headerBytes + len(headerEnd)
	searchStart := bodyStart - len(lineEnd)
	last := bytes.Index(in[searchStart:], []byte(lastChunk))
	if last >= 0 && last <= MaxBodyBytes {
		return searchStart + last + len(lastChunk), nil
	}
	if len(in)-bodyStart > MaxBodyBytes {
		return 0, errBodyTooLarge
	}
	return 0, nil
}

// rejectionStatus returns the HTTP status that answers an error of parseRequest.
func rejectionStatus(err error) int {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest
}
