package httpresponse

import (
	"strconv"
	"strings"
)

// responseHeader holds the parsed status line and header fields of a response.
type responseHeader struct {
	status  int
	length  int  // of the body in bytes, or unknownLength
	chunked bool // the body is in chunks; length does not matter then
	last    bool // no other response follows on the connection
}

// parseHeader parses a status line and header fields. text excludes the empty line that ends the header.
func parseHeader(text string, maxBodyBytes int) (responseHeader, error) {
	statusLine, fields, _ := strings.Cut(text, lineEnd)
	parsed, err := parseStatusLine(statusLine)
	if err != nil {
		return responseHeader{}, err
	}
	for fields != "" {
		var field string
		field, fields, _ = strings.Cut(fields, lineEnd)
		name, value, _ := strings.Cut(field, ":")
		if err := parsed.apply(strings.ToLower(name), strings.TrimSpace(value), maxBodyBytes); err != nil {
			return responseHeader{}, err
		}
	}
	return parsed, nil
}

// parseStatusLine returns a header without fields. A response of HTTP/1.0 is the last of its connection unless its
// Connection field says keep-alive.
func parseStatusLine(line string) (responseHeader, error) {
	words := strings.SplitN(line, " ", 3)
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") {
		return responseHeader{}, errMalformed
	}
	status, err := strconv.Atoi(words[1])
	if err != nil {
		return responseHeader{}, errMalformed
	}
	return responseHeader{status: status, length: unknownLength, last: words[0] == "HTTP/1.0"}, nil
}

// apply sets the values that one header field determines. name must be in lower case. If a field is repeated, the
// last one counts.
func (h *responseHeader) apply(name, value string, maxBodyBytes int) error {
	switch name {
	case "content-length":
		length, err := strconv.ParseInt(value, 10, 32)
		if err != nil || length < 0 || length > int64(maxBodyBytes) {
			return errMalformed
		}
		h.length = int(length)
	case "transfer-encoding":
		h.chunked = strings.EqualFold(value, "chunked")
	case "connection":
		h.last = strings.EqualFold(value, "close") || h.last && !strings.EqualFold(value, "keep-alive")
	}
	return nil
}
