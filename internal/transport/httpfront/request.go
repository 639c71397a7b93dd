package httpfront

import (
	"strconv"
	"strings"
)

const (
	// maxHeaderFields is the maximum number of header fields. More are malformed.
	maxHeaderFields = 100

	// bodyIsChunked stands for the size of a body in chunks, which only its chunks tell.
	bodyIsChunked = -1

	protocol10 = "HTTP/1.0"
	protocol11 = "HTTP/1.1"
)

// httpRequest is one HTTP request.
type httpRequest struct {
	method         string
	path           string            // begins with "/"; without the query
	header         map[string]string // by lower-case name; of repeated fields the first
	body           []byte
	closeAfter     bool // it is the last of its connection
	expectContinue bool // the client waits for 100 Continue before it sends the body (RFC 9110, 10.1.1)
}

// parseRequestLine parses a line without its end (RFC 9112, 3).
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
		method:     method,
		path:       path,
		header:     map[string]string{},
		closeAfter: protocol == protocol10,
	}, nil
}

// isToken reports whether text is a token (RFC 9110, 5.6.2). Another parser
// could read any other text differently.
func isToken(text string) bool {
	for i := range len(text) {
		character := text[i]
		if character <= ' ' || character > '~' || strings.IndexByte("\"(),/:;<=>?@[\\]{}", character) >= 0 {
			return false
		}
	}
	return text != ""
}

// parseFields parses the header fields, without the end of the last line, and what they say of the connection.
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
		r.closeAfter = r.closeAfter || strings.EqualFold(strings.TrimSpace(option), "close")
	}
	r.expectContinue = strings.EqualFold(r.header["expect"], "100-continue")
	return nil
}

// addField parses one field line (RFC 9112, 5). A line folded over two is malformed, as its second has no name.
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
	// Two values would allow smuggled requests and two readings of one query, so neither may win.
	if name == "content-length" && earlier != value || name == "transfer-encoding" || strings.HasPrefix(name, "x-") {
		return errMalformed
	}
	return nil
}

// announcedBodyBytes returns the size in bytes of the body that the header announces: 0 without one, and bodyIsChunked
// for one in chunks (RFC 9112, 6.3).
func (r *httpRequest) announcedBodyBytes() (int, error) {
	coding, coded := r.header["transfer-encoding"]
	length, sized := r.header["content-length"]
	if coded {
		if sized || !strings.EqualFold(coding, "chunked") {
			return 0, errMalformed // with both, parsers differ in where the request ends: guards against smuggled ones
		}
		return bodyIsChunked, nil
	}
	if !sized {
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
