package httpresponse

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
)

// errMalformed reports input that is no HTTP/1.x response, or one whose body exceeds the limit.
var errMalformed = errors.New("malformed response")

const (
	lineEnd   = "\r\n"
	headerEnd = "\r\n\r\n"
	// unknownLength stands for a header without Content-Length.
	unknownLength = -1
)

// Response is a parsed response. The zero value stands for one that is incomplete so far.
type Response struct {
	// Status is the status code.
	Status int
	// Body is the decoded body. It may share the memory of the input.
	Body []byte
	// Size is the number of bytes of the input that the response takes up, its header included; 0 while incomplete.
	Size int
	// Last says that no other response follows on the connection.
	Last bool
}

// Complete reports whether the response has arrived in full.
func (r Response) Complete() bool { return r.Size > 0 }

// Parse parses the first response of input. maxBodyBytes bounds the body of a response that announces its length or
// comes in chunks; one beyond it is malformed. peerClosed says that the sender has closed the connection in order: a
// body of unannounced length ends there, whereas a reset ends none (RFC 9112, sections 6.3 and 8).
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

// parseSized parses a body of announced length.
func parseSized(input []byte, bodyStart int, header responseHeader) Response {
	bodyEnd := bodyStart + header.length
	if len(input) < bodyEnd {
		return Response{}
	}
	return Response{Status: header.status, Body: input[bodyStart:bodyEnd], Size: bodyEnd, Last: header.last}
}

// parseUntilClose parses a body that the end of the connection delimits. A response other than 200 does not wait for
// that, since its body is not used.
func parseUntilClose(input []byte, bodyStart int, header responseHeader, peerClosed bool) Response {
	if header.status == http.StatusOK && !peerClosed {
		return Response{}
	}
	return Response{Status: header.status, Body: input[bodyStart:], Size: len(input), Last: true}
}

// parseChunked parses a body in chunks.
func parseChunked(input []byte, bodyStart int, header responseHeader, maxBodyBytes int) (Response, error) {
	var body []byte
	position := bodyStart
	for {
		sizeLength := bytes.Index(input[position:], []byte(lineEnd))
		if sizeLength < 0 {
			return Response{}, nil
		}
		chunkLength, err := parseChunkLength(string(input[position : position+sizeLength]))
		if err != nil || len(body)+chunkLength > maxBodyBytes {
			return Response{}, errMalformed
		}
		chunkStart := position + sizeLength + len(lineEnd)
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

// parseChunkLength returns the length that a chunk's first line announces, in bytes; extensions are ignored.
func parseChunkLength(line string) (int, error) {
	const maxBits = 30 // keeps sums of a length and an offset below the range of an int32
	digits, _, _ := strings.Cut(line, ";")
	length, err := strconv.ParseUint(strings.TrimSpace(digits), 16, maxBits)
	return int(length), err
}
