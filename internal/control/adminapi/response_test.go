package adminapi

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestAppendResponse(t *testing.T) {
	assert.Equal(t, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 28\r\nConnection: close\r\n\r\n"+
		"{\"ok\":true,\"reason\":\"done\"}\n", string(appendResponse(nil, 200, "done")))
}

// TestResponsesAreHTTP checks that net/http parses the response of each status, and that a reason with characters
// that JSON escapes is unchanged.
func TestResponsesAreHTTP(t *testing.T) {
	for _, c := range []struct {
		status int
		phrase string
	}{
		{200, "OK"}, {400, "Bad Request"}, {404, "Not Found"}, {405, "Method Not Allowed"}, {408, "Request Timeout"},
		{413, "Content Too Large"}, {431, "Request Header Fields Too Large"}, {500, "Internal Server Error"},
		{503, "Service Unavailable"}, {507, "Insufficient Storage"},
	} {
		reason := "why \"not\":\nbecause"
		response, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(appendResponse(nil, c.status, reason))), nil)
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		assert.Equal(t, c.status, response.StatusCode)
		assert.Contains(t, response.Status, c.phrase)
		assert.True(t, response.Close)
		var body struct {
			OK     bool
			Reason string
		}
		require.NoError(t, json.Unmarshal(text, &body))
		assert.Equal(t, c.status == 200, body.OK)
		assert.Equal(t, reason, body.Reason)
	}
}
