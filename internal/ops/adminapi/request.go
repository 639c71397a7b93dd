package adminapi

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

var (
	errTimeout            = errors.New("the call did not come whole within 0.8 s")
	errTooManyConnections = errors.New("too many callers at once")
	errHeaderTooLarge     = fmt.Errorf("head over %d bytes", MaxHeaderBytes)
	errBodyTooLarge       = fmt.Errorf("body over %d bytes", MaxBodyBytes)
	errMalformed          = errors.New("malformed call")
)

// parseRequest reads the head of a call: size is that of the head and body together, 0 while they have not come.
func parseRequest(in []byte) (method, path string, size int, err error) {
	end := bytes.Index(in, []byte("\r\n\r\n"))
	if end < 0 {
		if len(in) > MaxHeaderBytes {
			return "", "", 0, errHeaderTooLarge
		}
		return "", "", 0, nil
	}
	if end > MaxHeaderBytes {
		return "", "", 0, errHeaderTooLarge
	}
	line, fields, _ := strings.Cut(string(in[:end]), "\r\n")
	parts := strings.Split(line, " ")
	if len(parts) != 3 || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" || !strings.HasPrefix(parts[1], "/") {
		return "", "", 0, fmt.Errorf("%w: request line %q", errMalformed, line)
	}
	method, path = parts[0], parts[1]
	path, _, _ = strings.Cut(path, "?")
	body := 0
	for _, f := range strings.Split(fields, "\r\n") {
		name, value, ok := strings.Cut(f, ":")
		if !ok {
			return "", "", 0, fmt.Errorf("%w: field %q", errMalformed, f)
		}
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "content-length":
			n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
			if err != nil {
				return "", "", 0, fmt.Errorf("%w: Content-Length %q", errMalformed, strings.TrimSpace(value))
			}
			if n > MaxBodyBytes {
				return "", "", 0, errBodyTooLarge
			}
			body = int(n)
		case "transfer-encoding":
			if !strings.EqualFold(strings.TrimSpace(value), "chunked") {
				return "", "", 0, fmt.Errorf("%w: Transfer-Encoding %q", errMalformed, strings.TrimSpace(value))
			}
			body = -1
		}
	}
	if body >= 0 {
		return method, path, end + 4 + body, nil
	}
	// A body in chunks, as some clients send an empty one: thrown away once its last chunk has come.
	last := bytes.Index(in[end+2:], []byte("\r\n0\r\n\r\n"))
	switch {
	case last >= 0 && last <= MaxBodyBytes:
		return method, path, end + 2 + last + 7, nil
	case len(in)-end-4 > MaxBodyBytes:
		return "", "", 0, errBodyTooLarge
	}
	return "", "", 0, nil
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, errHeaderTooLarge):
		return 431
	case errors.Is(err, errBodyTooLarge):
		return 413
	}
	return 400
}
