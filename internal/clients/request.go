package clients

import (
	"strings"
)

const (
	maxHeaderFields = 100
)

// request is one HTTP request.
type request struct {
	method, path   string
	header         map[string]string // by lower-case name; of repeated fields the first
	body           []byte
	closeAfter     bool
	expectContinue bool // it waits for 100 Continue
}

func (m *request) parseFields(text string) error {
	n := 0
	for text != "" {
		var line string
		line, text, _ = strings.Cut(text, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		if n++; !ok || !isToken(name) || n > maxHeaderFields ||
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

// isToken tells that s is a word as HTTP has them: guards against names that another parser would read
// otherwise.
func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i]; c <= ' ' || c > '~' || strings.IndexByte("\"(),/:;<=>?@[\\]{}", c) >= 0 {
			return false
		}
	}
	return s != ""
}
