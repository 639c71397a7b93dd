package clients

import (
	"bytes"
	"strconv"
	"strings"
)

const (
	maxChunkLineBytes = 1024
)

// unchunk reads a chunked body on; size is 0 while it is not whole.
func (p *requestParser) unchunk(in []byte) (size int, err error) {
	for p.tail == 0 {
		end := bytes.Index(in[p.at:], []byte("\r\n"))
		if end < 0 {
			if len(in)-p.at > maxChunkLineBytes {
				return 0, errMalformed
			}
			return 0, nil
		}
		text, _, _ := strings.Cut(string(in[p.at:p.at+end]), ";")
		n, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil {
			return 0, errMalformed
		}
		at := p.at + end + 2
		if n == 0 {
			p.at, p.tail = at, at
			break
		}
		if len(p.m.body)+int(n) > maxBodyBytes {
			return 0, errBodyTooLarge
		}
		if len(in) < at+int(n)+2 {
			return 0, nil
		}
		p.m.body = append(p.m.body, in[at:at+int(n)]...)
		if at += int(n); in[at] != '\r' || in[at+1] != '\n' {
			return 0, errMalformed
		}
		p.at = at + 2
	}
	// The trailer is passed over.
	for {
		end := bytes.Index(in[p.at:], []byte("\r\n"))
		if end < 0 {
			if len(in)-p.tail > maxHeaderBytes {
				return 0, errHeaderTooLarge
			}
			return 0, nil
		}
		if p.at += end + 2; end == 0 {
			return p.at, nil
		}
	}
}
