package maintenance

// MaxIDBytes is the maximum length of a backend's id in bytes.
const MaxIDBytes = 256

// ValidID reports whether id can be the id of a backend: 1 to MaxIDBytes bytes that need no escapes in a path segment
// of a URL.
func ValidID(id string) bool {
	if id == "" || len(id) > MaxIDBytes {
		return false
	}
	for i := range len(id) {
		if !isIDByte(id[i]) {
			return false
		}
	}
	return true
}

func isIDByte(c byte) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	case c == '-', c == '_', c == '.', c == ':':
		return true
	}
	return false
}
