package httpresponse

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testMaxBodyBytes = 20

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		input      string
		peerClosed bool
		want       Response // Size 0: the whole input
	}{
		"sized": {input: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
			want: Response{Status: 200, Body: []byte("hello")}},
		"sized, empty": {input: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
			want: Response{Status: 204, Body: []byte{}}},
		"sized, with input of the next response": {input: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1",
			want: Response{Status: 200, Body: []byte("hello"), Size: 43}},
		"last by Connection: close": {input: "HTTP/1.1 200 OK\r\nconnection: Close\r\nContent-Length: 5\r\n\r\nhello",
			want: Response{Status: 200, Body: []byte("hello"), Last: true}},
		"last by HTTP/1.0": {input: "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
			want: Response{Status: 200, Body: []byte("hello"), Last: true}},
		"HTTP/1.0 kept alive": {input: "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nhello",
			want: Response{Status: 200, Body: []byte("hello")}},
		"chunked": {input: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n",
			want: Response{Status: 200, Body: []byte("hello world")}},
		"chunked, empty": {input: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			want: Response{Status: 200}},
		"until the close": {input: "HTTP/1.1 200 OK\r\n\r\nhello", peerClosed: true,
			want: Response{Status: 200, Body: []byte("hello"), Last: true}},
		"status 503 without a length": {input: "HTTP/1.1 503 Service Unavailable\r\n\r\nhel",
			want: Response{Status: 503, Body: []byte("hel"), Last: true}},
	} {
		t.Run(name, func(t *testing.T) {
			response, err := Parse([]byte(c.input), testMaxBodyBytes, c.peerClosed)
			require.NoError(t, err)
			if c.want.Size == 0 {
				c.want.Size = len(c.input)
			}
			assert.True(t, response.Complete())
			assert.Equal(t, c.want, response)
		})
	}
}

func TestParseIncomplete(t *testing.T) {
	for name, c := range map[string]struct {
		input      string
		peerClosed bool
	}{
		"no input":                    {"", true},
		"half of a header":            {"HTTP/1.1 2", true},
		"half of a sized body":        {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", true},
		"no length, connection open":  {"HTTP/1.1 200 OK\r\n\r\nhello", false},
		"no last chunk":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", true},
		"half of a chunk":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", true},
		"last chunk without its end":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", true},
		"half of a chunk's size line": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5", true},
	} {
		t.Run(name, func(t *testing.T) {
			response, err := Parse([]byte(c.input), testMaxBodyBytes, c.peerClosed)
			require.NoError(t, err)
			assert.Equal(t, Response{}, response)
			assert.False(t, response.Complete())
		})
	}
}

func TestParseMalformed(t *testing.T) {
	for name, input := range map[string]string{
		"another protocol":            "SSH-2.0 x\r\n\r\n",
		"no status":                   "HTTP/1.1\r\n\r\n",
		"status not a number":         "HTTP/1.1 fine OK\r\n\r\n",
		"length not a number":         "HTTP/1.1 200 OK\r\nContent-Length: five\r\n\r\n",
		"negative length":             "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
		"length beyond the limit":     "HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n",
		"chunk size not a number":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfive\r\n",
		"chunk beyond the limit":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n15\r\n",
		"chunks beyond the limit":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n10\r\n",
		"chunk size beyond the range": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n40000000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			response, err := Parse([]byte(input), testMaxBodyBytes, false)
			assert.ErrorIs(t, err, errMalformed)
			assert.Equal(t, Response{}, response)
		})
	}
}

// TestParseAnyInput checks for random input that a response is not longer than the input, and its body not longer
// than the response.
func TestParseAnyInput(t *testing.T) {
	parts := []string{"HTTP/1.1 200 OK\r\n", "HTTP/1.0 503 x\r\n", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n",
		"Connection: close\r\n", "\r\n", "hello", "5\r\nhello\r\n", "0\r\n\r\n", "3fffffff\r\n", "x"}
	rapid.Check(t, func(t *rapid.T) {
		var input []byte
		for _, part := range rapid.SliceOfN(rapid.SampledFrom(parts), 0, 12).Draw(t, "parts") {
			input = append(input, part...)
		}
		response, err := Parse(input, testMaxBodyBytes, rapid.Bool().Draw(t, "peer closed"))
		if err != nil || !response.Complete() {
			assert.Empty(t, response.Body)
			return
		}
		assert.LessOrEqual(t, response.Size, len(input))
		assert.LessOrEqual(t, len(response.Body), response.Size)
	})
}
