package httpresponse

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseHeader(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want responseHeader
	}{
		"no fields":               {"HTTP/1.1 200 OK", responseHeader{status: 200, length: unknownLength}},
		"no reason":               {"HTTP/1.1 200", responseHeader{status: 200, length: unknownLength}},
		"the last length counts":  {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nCONTENT-LENGTH:5", responseHeader{status: 200, length: 5}},
		"chunked in any case":     {"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked", responseHeader{status: 200, length: unknownLength, chunked: true}},
		"another encoding":        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip", responseHeader{status: 200, length: unknownLength}},
		"HTTP/1.0":                {"HTTP/1.0 200 OK", responseHeader{status: 200, length: unknownLength, last: true}},
		"HTTP/1.0, another value": {"HTTP/1.0 200 OK\r\nConnection: upgrade", responseHeader{status: 200, length: unknownLength, last: true}},
		"HTTP/1.1, another value": {"HTTP/1.1 200 OK\r\nConnection: upgrade", responseHeader{status: 200, length: unknownLength}},
	} {
		t.Run(name, func(t *testing.T) {
			parsed, err := parseHeader(c.text, testMaxBodyBytes)
			require.NoError(t, err)
			assert.Equal(t, c.want, parsed)
		})
	}
}
