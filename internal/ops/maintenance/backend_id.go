package maintenance

// MaxIDBytes is the longest id taken, in bytes.
const MaxIDBytes = 256

// ValidID tells that an id can be a leaf's: what a path segment carries without escapes, and not too long.
func ValidID(id string) bool {
	if id == "" || len(id) > MaxIDBytes {
		return false
	}
	for i := 0; i < len(id); i++ {
		switch c := id[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-', c == '_', c == '.',
			c == ':':
		default:
			return false
		}
	}
	return true
}
