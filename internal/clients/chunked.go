package clients

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	maxChunkLineBytes = 1024
)

// parseChunks reads a chunked body on; size is 0 while it is not whole.
func (p *requestParser) parseChunks(in []byte) (size int, err error) {
	for p.trailerStart == 0 {
		end := bytes.Index(in[p.parsedBytes:], []byte("\r\n"))
		if end < 0 {
			if len(in)-p.parsedBytes > maxChunkLineBytes {
				return 0, errMalformed
			}
			return 0, nil
		}
		text, _, _ := strings.Cut(string(in[p.parsedBytes:p.parsedBytes+end]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil {
			return 0, errMalformed
		}
		at := p.parsedBytes + end + 2
		if n == 0 {
			p.parsedBytes, p.trailerStart = at, at
			break
		}
		if len(p.request.body)+int(n) > maxBodyBytes {
			return 0, errBodyTooLarge
		}
		if len(in) < at+int(n)+2 {
			return 0, nil
		}
		p.request.body = append(p.request.body, in[at:at+int(n)]...)
		if at += int(n); in[at] != '\r' || in[at+1] != '\n' {
			return 0, errMalformed
		}
		p.parsedBytes = at + 2
	}
	// The trailer is passed over.
	for {
		end := bytes.Index(in[p.parsedBytes:], []byte("\r\n"))
		if end < 0 {
			if len(in)-p.trailerStart > maxHeaderBytes {
				return 0, errHeaderTooLarge
			}
			return 0, nil
		}
		if p.parsedBytes += end + 2; end == 0 {
			return p.parsedBytes, nil
		}
	}
}
