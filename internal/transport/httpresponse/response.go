package httpresponse

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
)

// errMalformed reports input that is not an HTTP/1.x response, or a response whose body exceeds the limit.
var errMalformed = errors.New("malformed response")

const (
	lineEnd   = "\r\n"
	headerEnd = "\r\n\r\n"
	// unknownLength is the body length if the header has no Content-Length.
	unknownLength = -1
)

// Response is a parsed response. The zero value stands for a response that has not arrived in full.
type Response struct {
	// Status is the status code.
	Status int
	// Body is the decoded body. It may share the memory of the input.
	Body []byte
	// Size is the number of input bytes of the response, including its header; 0 while it is incomplete.
	Size int
	// Last reports whether no other response follows on the connection.
	Last bool
}

// Complete reports whether the response has arrived in full.
func (r Response) Complete() bool { return r.Size > 0 }

// Parse parses the first response in input.
//
// maxBodyBytes is the maximum size of a body with a Content-Length or in chunks; a response with a larger one is
// malformed. peerClosed reports whether the peer has closed the connection in order. This ends a body of unknown
// length, whereas a connection reset does not (RFC 9112, sections 6.3 and 8).
func Parse(input []byte, maxBodyBytes int, peerClosed bool) (Response, error) {
	end := bytes.Index(input, []byte(headerEnd))
	if end < 0 {
		return Response{}, nil
	}
	header, err := parseHeader(string(input[:end]), maxBodyBytes)
	if err != nil {
		return Response{}, err
	}
	bodyStart := end + len(headerEnd)
	switch {
	case header.chunked:
		return parseChunked(input, bodyStart, header, maxBodyBytes)
	case header.length == unknownLength:
		return parseUntilClose(input, bodyStart, header, peerClosed), nil
	default:
		return parseSized(input, bodyStart, header), nil
	}
}

// parseSized parses a body with a Content-Length.
func parseSized(input []byte, bodyStart int, header responseHeader) Response {
	bodyEnd := bodyStart + header.length
	if len(input) < bodyEnd {
		return Response{}
	}
	return Response{Status: header.status, Body: input[bodyStart:bodyEnd], Size: bodyEnd, Last: header.last}
}

// parseUntilClose parses a body that extends to the end of the connection. If the status is not 200 it does not wait
// for that end, since the body is not used.
func parseUntilClose(input []byte, bodyStart int, header responseHeader, peerClosed bool) Response {
	if header.status == http.StatusOK && !peerClosed {
		return Response{}
	}
	return Response{Status: header.status, Body: input[bodyStart:], Size: len(input), Last: true}
}

// parseChunked parses a chunked body.
func parseChunked(input []byte, bodyStart int, header responseHeader, maxBodyBytes int) (Response, error) {
	var body []byte
	position := bodyStart
	for {
		sizeLineLength := bytes.Index(input[position:], []byte(lineEnd))
		if sizeLineLength < 0 {
			return Response{}, nil
		}
		chunkLength, err := parseChunkLength(string(input[position : position+sizeLineLength]))
		if err != nil || len(body)+chunkLength > maxBodyBytes {
			return Response{}, errMalformed
		}
		chunkStart := position + sizeLineLength + len(lineEnd)
		chunkEnd := chunkStart + chunkLength
		position = chunkEnd + len(lineEnd)
		if len(input) < position {
			return Response{}, nil
		}
		if chunkLength == 0 {
			return Response{Status: header.status, Body: body, Size: position, Last: header.last}, nil
		}
		body = append(body, input[chunkStart:chunkEnd]...)
	}
}

// parseChunkLength returns the length in bytes that is given by the first line of a chunk. It ignores chunk
// extensions.
func parseChunkLength(line string) (int, error) {
	const maxBits = 30 // keeps sums of a length and an offset below the range of an int32
	digits, _, _ := strings.Cut(line, ";")
	length, err := strconv.ParseUint(strings.TrimSpace(digits), 16, maxBits)
	return int(length), err
}
