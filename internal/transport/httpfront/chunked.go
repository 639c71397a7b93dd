package httpfront

import (
	"bytes"
	"strconv"
	"strings"
)

// maxChunkLineBytes is the maximum number of bytes that are buffered without the end of a chunk's size line. More are
// malformed.
const maxChunkLineBytes = 1024

// parseChunks parses a chunked body (RFC 9112, 7.1) as far as it has arrived. It returns the size in bytes of the
// request, or 0 until all of it has arrived. Chunk extensions and the trailer are discarded.
func (p *requestParser) parseChunks(in []byte) (int, error) {
	for p.trailerStart == 0 {
		parsedBytes := p.parsedBytes
		err := p.parseChunk(in)
		if err != nil || p.parsedBytes == parsedBytes {
			return 0, err
		}
	}
	return p.parseTrailer(in)
}

// parseChunk appends one chunk to the body, or sets p.trailerStart if it is the last chunk. It changes nothing until
// the whole chunk has arrived.
func (p *requestParser) parseChunk(in []byte) error {
	rest := in[p.parsedBytes:]
	lineBytes := bytes.Index(rest, []byte(lineEnd))
	if lineBytes < 0 {
		if len(rest) > maxChunkLineBytes {
			return errMalformed
		}
		return nil
	}
	size, _, _ := strings.Cut(string(rest[:lineBytes]), ";")
	parsedSize, err := strconv.ParseUint(strings.TrimSpace(size), 16, 31)
	if err != nil {
		return errMalformed
	}
	chunkBytes := int(parsedSize)
	chunkStart := p.parsedBytes + lineBytes + len(lineEnd)
	if chunkBytes == 0 {
		p.parsedBytes = chunkStart
		p.trailerStart = chunkStart
		return nil
	}
	if len(p.request.body)+chunkBytes > maxBodyBytes {
		return errBodyTooLarge
	}
	chunkEnd := chunkStart + chunkBytes
	next := chunkEnd + len(lineEnd)
	if len(in) < next {
		return nil
	}
	if string(in[chunkEnd:next]) != lineEnd {
		return errMalformed
	}
	p.request.body = append(p.request.body, in[chunkStart:chunkEnd]...)
	p.parsedBytes = next
	return nil
}

// parseTrailer discards the trailer fields after the last chunk, through the empty line that ends them. It returns
// the size in bytes of the request, or 0 until all of it has arrived.
func (p *requestParser) parseTrailer(in []byte) (int, error) {
	for {
		lineBytes := bytes.Index(in[p.parsedBytes:], []byte(lineEnd))
		if lineBytes < 0 {
			if len(in)-p.trailerStart > maxHeaderBytes {
				return 0, errHeaderTooLarge
			}
			return 0, nil
		}
		p.parsedBytes += lineBytes + len(lineEnd)
		if lineBytes == 0 {
			return p.parsedBytes, nil
		}
	}
}
