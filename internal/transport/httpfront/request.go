package httpfront

import (
	"strconv"
	"strings"
)

const (
	// maxHeaderFields is the maximum number of header fields. A request with more is malformed.
	maxHeaderFields = 100

	// bodyIsChunked is used as the size of a chunked body, which the header does not give.
	bodyIsChunked = -1

	protocol10 = "HTTP/1.0"
	protocol11 = "HTTP/1.1"
)

// httpRequest is a parsed HTTP request.
type httpRequest struct {
	method         string
	path           string            // begins with "/"; without the query
	header         map[string]string // by lower-case name; the first value of a repeated field
	body           []byte
	closeRequested bool // the client wants the connection closed after the response
	expectContinue bool // the client waits for 100 Continue before it sends the body (RFC 9110, 10.1.1)
}

// parseRequestLine parses a request line without its line end (RFC 9112, 3).
func parseRequestLine(line string) (*httpRequest, error) {
	words := strings.Split(line, " ")
	if len(words) != 3 {
		return nil, errMalformed
	}
	method := words[0]
	target := words[1]
	protocol := words[2]
	if !isToken(method) || !strings.HasPrefix(target, "/") || protocol != protocol11 && protocol != protocol10 {
		return nil, errMalformed
	}
	path, _, _ := strings.Cut(target, "?")
	return &httpRequest{
		method:         method,
		path:           path,
		header:         map[string]string{},
		closeRequested: protocol == protocol10,
	}, nil
}

// isToken reports whether text is a token (RFC 9110, 5.6.2). Other methods and field names are not accepted, since
// another parser could read them differently.
func isToken(text string) bool {
	for i := range len(text) {
		character := text[i]
		if character <= ' ' || character > '~' || strings.IndexByte("\"(),/:;<=>?@[\\]{}", character) >= 0 {
			return false
		}
	}
	return text != ""
}

// parseFields parses the header fields and sets closeRequested and expectContinue accordingly. text has no line end
// after the last field.
func (r *httpRequest) parseFields(text string) error {
	count := 0
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, lineEnd)
		count++
		if count > maxHeaderFields {
			return errMalformed
		}
		if err := r.addField(line); err != nil {
			return err
		}
	}
	for option := range strings.SplitSeq(r.header["connection"], ",") {
		r.closeRequested = r.closeRequested || strings.EqualFold(strings.TrimSpace(option), "close")
	}
	r.expectContinue = strings.EqualFold(r.header["expect"], "100-continue")
	return nil
}

// addField parses one field line (RFC 9112, 5). A folded line is malformed, as its second half has no name.
func (r *httpRequest) addField(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) || strings.ContainsAny(value, "\r\n\x00") {
		return errMalformed
	}
	name = strings.ToLower(name)
	value = strings.Trim(value, " \t")
	earlier, repeated := r.header[name]
	if !repeated {
		r.header[name] = value
		return nil
	}
	// Choosing one of two values would allow request smuggling, and queries that two parsers read differently.
	if name == "content-length" && earlier != value || name == "transfer-encoding" || strings.HasPrefix(name, "x-") {
		return errMalformed
	}
	return nil
}

// dropUnusedFields drops the header fields that are not read any more, and with them the text of the whole header. A
// request may wait for its body, and a header of many short fields takes several times its size when it is parsed.
func (r *httpRequest) dropUnusedFields() {
	used := make(map[string]string, len(usedFields))
	for _, name := range usedFields {
		if value, ok := r.header[name]; ok {
			used[name] = strings.Clone(value)
		}
	}
	r.header = used
	r.method = strings.Clone(r.method)
	r.path = strings.Clone(r.path)
}

// announcedBodyBytes returns the size in bytes of the body according to the header: 0 without a body, and
// bodyIsChunked for a chunked one (RFC 9112, 6.3).
func (r *httpRequest) announcedBodyBytes() (int, error) {
	coding, hasCoding := r.header["transfer-encoding"]
	length, hasLength := r.header["content-length"]
	if hasCoding {
		if hasLength || !strings.EqualFold(coding, "chunked") {
			return 0, errMalformed // with both fields, parsers could disagree on the request's end (request smuggling)
		}
		return bodyIsChunked, nil
	}
	if !hasLength {
		return 0, nil
	}
	bodyBytes, err := strconv.ParseUint(length, 10, 63)
	if err != nil {
		return 0, errMalformed
	}
	if bodyBytes > maxBodyBytes {
		return 0, errBodyTooLarge
	}
	return int(bodyBytes), nil
}
