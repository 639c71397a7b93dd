package httpfront

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	post    = "POST /search/q HTTP/1.1\r\nHost: a\r\n"
	chunked = post + "Transfer-Encoding: chunked\r\n\r\n"
	sized   = post + "Content-Length: 3\r\n\r\n"
)

// parseInSteps parses text as if it arrived in pieces of step bytes.
func parseInSteps(t *testing.T, text string, step int) (*httpRequest, int, error) {
	t.Helper()
	in := []byte(text)
	p := &requestParser{}
	for end := step; ; end += step {
		parsed, size, err := p.next(in[:min(end, len(in))])
		if size > 0 || err != nil || end >= len(in) {
			return parsed, size, err
		}
	}
}

func TestParserAcceptsRequests(t *testing.T) {
	for _, c := range []struct {
		name, in, method, path, body string
		last, expect                 bool
	}{
		{"no body", "GET /_health HTTP/1.1\r\n\r\n", "GET", "/_health", "", false, false},
		{"empty lines before", "\r\n\r\nGET /x HTTP/1.1\r\n\r\n", "GET", "/x", "", false, false},
		{"HTTP/1.0", "GET /x HTTP/1.0\r\n\r\n", "GET", "/x", "", true, false},
		{"a query", "GET /x?y=/z HTTP/1.1\r\n\r\n", "GET", "/x", "", false, false},
		{"Connection: close", "GET /x HTTP/1.1\r\nConnection: te, Close\r\n\r\n", "GET", "/x", "", true, false},
		{"a sized body", sized + "abc", "POST", "/search/q", "abc", false, false},
		{"the same size twice", post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", "POST", "/search/q", "a", false, false},
		{"Expect: 100-continue", post + "Expect: 100-Continue\r\nContent-Length: 1\r\n\r\na", "POST", "/search/q", "a", false, true},
		{"no data chunk", chunked + "0\r\n\r\n", "POST", "/search/q", "", false, false},
		{"chunks", chunked + "1\r\na\r\n 2 ;e=1\r\nbc\r\n0\r\n\r\n", "POST", "/search/q", "abc", false, false},
		{"a trailer", chunked + "1\r\na\r\n0\r\nX: y\r\n\r\n", "POST", "/search/q", "a", false, false},
		{"the largest body", post + "Content-Length: 65536\r\n\r\n" + strings.Repeat("x", maxBodyBytes), "POST", "/search/q", strings.Repeat("x", maxBodyBytes), false, false},
	} {
		for _, step := range []int{1, 7, len(c.in)} {
			t.Run(fmt.Sprintf("%s in steps of %d", c.name, step), func(t *testing.T) {
				parsed, size, err := parseInSteps(t, c.in, step)
				require.NoError(t, err)
				require.Equal(t, len(c.in), size)
				assert.Equal(t, []string{c.method, c.path, c.body}, []string{parsed.method, parsed.path, string(parsed.body)})
				assert.Equal(t, []bool{c.last, c.expect}, []bool{parsed.closeRequested, parsed.expectContinue})
			})
		}
	}
}

func TestParserRejectsRequests(t *testing.T) {
	for _, c := range []struct {
		name, in string
		target   error
	}{
		{"another protocol", "GET / HTTP/2\r\n\r\n", errMalformed},
		{"a request line of two words", "GET /\r\n\r\n", errMalformed},
		{"no path", "GET x HTTP/1.1\r\n\r\n", errMalformed},
		{"an invalid method", "G(T / HTTP/1.1\r\n\r\n", errMalformed},
		{"a field without a colon", post + "X\r\n\r\n", errMalformed},
		{"a space before the colon", post + "X : y\r\n\r\n", errMalformed},
		{"a folded field", post + "X: y\r\n z: a\r\n\r\n", errMalformed},
		{"a bare line feed", post + "X: y\nZ: a\r\n\r\n", errMalformed},
		{"a NUL", post + "X: \x00\r\n\r\n", errMalformed},
		{"two sizes", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", errMalformed},
		{"a size and chunks", post + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\na", errMalformed},
		{"another coding", post + "Transfer-Encoding: gzip, chunked\r\n\r\n", errMalformed},
		{"two codings", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", errMalformed},
		{"a repeated X- field", post + "X-Tenant: a\r\nX-Tenant: a\r\n\r\n", errMalformed},
		{"a negative size", post + "Content-Length: -1\r\n\r\n", errMalformed},
		{"too many fields", post + strings.Repeat("a: b\r\n", maxHeaderFields) + "\r\n", errMalformed},
		{"a header over the limit", post + "X: " + strings.Repeat("x", maxHeaderBytes) + "\r\n\r\n", errHeaderTooLarge},
		{"a header over the limit without an end", strings.Repeat("x", maxHeaderBytes+1), errHeaderTooLarge},
		{"a body over the limit", post + "Content-Length: 65537\r\n\r\n", errBodyTooLarge},
		{"a chunk over the limit", chunked + "10001\r\n", errBodyTooLarge},
		{"chunks together over the limit", chunked + "1\r\na\r\n10000\r\n", errBodyTooLarge},
		{"an invalid chunk size", chunked + "-1\r\n", errMalformed},
		{"a chunk longer than its size", chunked + "1\r\nabc\r\n", errMalformed},
		{"a chunk size line over the limit", chunked + "1;" + strings.Repeat("x", maxChunkLineBytes), errMalformed},
		{"a trailer over the limit", chunked + "0\r\nX: " + strings.Repeat("x", maxHeaderBytes), errHeaderTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, step := range []int{1, 7, len(c.in)} {
				_, size, err := parseInSteps(t, c.in, step)
				assert.Zero(t, size)
				assert.ErrorIs(t, err, c.target)
			}
		})
	}
}

// TestParserSplitsPipelinedRequests checks that pipelined requests are parsed one after the other, and that no prefix
// of a request is parsed as a request.
func TestParserSplitsPipelinedRequests(t *testing.T) {
	in := []byte(sized + "abc" + chunked + "1\r\nd\r\n0\r\nX: y\r\n\r\n" + "GET /last HTTP/1.1\r\n\r\n")
	p := &requestParser{}
	var got []string
	for len(in) > 0 {
		parsed, size, err := p.next(in)
		require.NoError(t, err)
		got = append(got, parsed.path+" "+string(parsed.body))
		for end := range size {
			early, earlySize, err := (&requestParser{}).next(in[:end])
			require.NoError(t, err)
			require.Nil(t, early)
			require.Zero(t, earlySize)
		}
		in = in[size:]
	}
	assert.Equal(t, []string{"/search/q abc", "/search/q d", "/last "}, got)
}
