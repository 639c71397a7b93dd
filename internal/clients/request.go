package clients

import (
	"strings"
)

const (
	maxFields = 100
)

// message is one HTTP request.
type message struct {
	method, path string
	header       map[string]string // by lower-case name; of repeated fields the first
	body         []byte
	close        bool
	expect       bool // it waits for 100 Continue
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
