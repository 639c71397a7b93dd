package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestResponseEncoding(t *testing.T) {
	const plain = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
	assert.Equal(t, "before"+plain, string(httpResponse{status: 200, body: []byte("{}")}.appendTo([]byte("before"))))
	assert.Equal(t, "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nContent-Length: 0\r\n"+
		"Retry-After: 0.025\r\nConnection: close\r\n\r\n", string(httpResponse{status: 503, retryAfterMs: 25, closeConnection: true}.appendTo(nil)))
}

// TestHTTPClientReadsResponses checks that Go's HTTP client parses a response with each status that the server sends.
func TestHTTPClientReadsResponses(t *testing.T) {
	for status, phrase := range map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found",
		405: "Method Not Allowed", 408: "Request Timeout", 413: "Content Too Large", 431: "Request Header Fields Too Large",
		502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout"} {
		out := httpResponse{status: status, body: []byte(`{"error":"x"}`)}.appendTo(nil)
		got, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(out)), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(got.Body)
		require.NoError(t, err)
		require.NoError(t, got.Body.Close())
		assert.Equal(t, status, got.StatusCode)
		assert.Equal(t, fmt.Sprint(status, " ", phrase), got.Status)
		assert.Equal(t, `{"error":"x"}`, string(body))
	}
}
