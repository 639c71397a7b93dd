package adminapi

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestParseRequest(t *testing.T) {
	const put = "PUT /v1/aggregator/drain HTTP/1.1\r\n"
	chunked := put + "Transfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, in     string
		method, path string
		sizeBytes    int // 0: unknown
	}{
		{"no body", "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n", "GET", "/v1/readyz", 36},
		{"HTTP/1.0", "GET /v1/readyz HTTP/1.0\r\nHost: a\r\n\r\n", "GET", "/v1/readyz", 36},
		{"a query", "GET /v1/readyz?verbose HTTP/1.1\r\nHost: a\r\n\r\n", "GET", "/v1/readyz", 44},
		{"half a header", "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n", "", "", 0},
		{"a body", put + "Content-Length: 3\r\n\r\nabc", "PUT", "/v1/aggregator/drain", 59},
		{"half a body", put + "Content-Length: 3\r\n\r\na", "PUT", "/v1/aggregator/drain", 59},
		{"the largest body", put + "content-length:4096\r\n\r\n", "PUT", "/v1/aggregator/drain", 58 + 4096},
		{"an empty chunked body", chunked + "0\r\n\r\n", "PUT", "/v1/aggregator/drain", len(chunked) + 5},
		{"a chunk", chunked + "3\r\nabc\r\n0\r\n\r\n", "PUT", "/v1/aggregator/drain", len(chunked) + 13},
		{"half a chunk", chunked + "3\r\na", "", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseRequest([]byte(c.in))
			require.NoError(t, err)
			assert.Equal(t, request{method: c.method, path: c.path, sizeBytes: c.sizeBytes}, got)
			incomplete := strings.Contains(c.name, "half") || c.name == "the largest body"
			assert.Equal(t, !incomplete, got.hasArrived(len(c.in)))
		})
	}
}

func TestParseRequestRejects(t *testing.T) {
	const put = "PUT /v1/aggregator/drain HTTP/1.1\r\n"
	for _, c := range []struct {
		name, in string
		target   error
		text     string
		status   int
	}{
		{"no request line", "HELLO\r\n\r\n", errMalformed, `malformed call: request line "HELLO"`, 400},
		{"another protocol", "GET / HTTP/2\r\n\r\n", errMalformed, `malformed call: request line "GET / HTTP/2"`, 400},
		{"no path", "GET x HTTP/1.1\r\n\r\n", errMalformed, `malformed call: request line "GET x HTTP/1.1"`, 400},
		{"a field without a colon", put + "Host\r\n\r\n", errMalformed, `malformed call: field "Host"`, 400},
		{"a negative size", put + "Content-Length: -1\r\n\r\n", errMalformed,
			`malformed call: Content-Length "-1"`, 400},
		{"another encoding", put + "Transfer-Encoding: gzip\r\n\r\n", errMalformed,
			`malformed call: Transfer-Encoding "gzip"`, 400},
		{"a large header", put + "X: " + strings.Repeat("x", MaxHeaderBytes) + "\r\n\r\n", errHeaderTooLarge,
			"head over 4096 bytes", 431},
		{"a large header without an end", strings.Repeat("x", MaxHeaderBytes+1), errHeaderTooLarge,
			"head over 4096 bytes", 431},
		{"a large body", put + "Content-Length: 4097\r\n\r\n", errBodyTooLarge, "body over 4096 bytes", 413},
		{"a large body in chunks", put + "Transfer-Encoding: chunked\r\n\r\n2000\r\n" + strings.Repeat("x", 8192),
			errBodyTooLarge, "body over 4096 bytes", 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseRequest([]byte(c.in))
			require.ErrorIs(t, err, c.target)
			assert.Equal(t, c.text, err.Error())
			assert.Equal(t, c.status, rejectionStatus(err))
		})
	}
}
