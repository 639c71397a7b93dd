package backendpool

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"ternstage/internal/core"
)

// A frame is a header, the length of what follows as a big-endian 32-bit number, then a letter and a body.
const (
	frameHeaderBytes = 4
	// maxFrameBytes is the maximum length that a header may announce. A value fills a body of 64 KiB at most.
	maxFrameBytes = 80 << 10
)

// The letters of frames.
const (
	frameQuery       = 'Q' // a call: parts for the backend
	frameAbandon     = 'X' // a part is no longer wanted; the body is its id
	frameHealthCheck = 'P' // never sent by this broker
	frameLoadReport  = 'L' // of a backend, only in answer to a health check
	frameAnswer      = 'A' // of a backend, to one part
	frameError       = 'E' // of a backend that did not understand a frame
)

// answerStatus is what a backend says became of a part. The values are the wire's words.
type answerStatus string

const (
	statusOK        answerStatus = "ok"
	statusFailed    answerStatus = "err"
	statusRejected  answerStatus = "busy"  // provably not run
	statusNotHolder answerStatus = "moved" // provably not run; only while shards move
)

// errMalformedFrame is wrapped by every error about a frame of a backend.
var errMalformedFrame = errors.New("malformed frame")

// frame is a complete frame that was received.
type frame struct {
	letter    byte
	body      []byte // shares the input's memory
	sizeBytes int    // of header, letter and body; 0: the frame is incomplete
}

// answer is the body of an answer frame.
type answer struct {
	partID string
	status answerStatus
	epoch  uint64 // of the backend's shard map, with statusNotHolder
	value  []byte // shares the input's memory
}

// beginFrame appends the beginning of a frame. endFrame has to follow its body.
func beginFrame(out []byte, letter byte) []byte { return append(out, 0, 0, 0, 0, letter) }

// endFrame sets the length of the frame that begins at out[start] and ends with out.
func endFrame(out []byte, start int) {
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-frameHeaderBytes))
}

// appendPart appends one part to a query frame: a line and the query's text.
//
//	ID SHARD d=240,k=7f3a,e=17,r=120-135 LENGTH
//
// d is how long the broker waits, in ms. k is the idempotency key, if there is one. While shards move, e is the epoch
// by which the part was routed and r its range of buckets, without the last number.
func appendPart(out []byte, id string, attempt *core.Attempt, remainingMs int) []byte {
	out = append(out, id...)
	out = append(out, ' ')
	out = strconv.AppendInt(out, int64(attempt.Shard), 10)
	out = append(out, " d="...)
	out = strconv.AppendInt(out, int64(remainingMs), 10)
	if attempt.IdempotencyKey != "" {
		out = append(out, ",k="...)
		out = append(out, attempt.IdempotencyKey...)
	}
	if attempt.Epoch > 0 {
		out = append(out, ",e="...)
		out = strconv.AppendUint(out, attempt.Epoch, 10)
		out = append(out, ",r="...)
		out = append(out, attempt.Buckets.String()...)
	}
	out = append(out, ' ')
	out = strconv.AppendInt(out, int64(len(attempt.Payload)), 10)
	out = append(out, '\n')
	return append(out, attempt.Payload...)
}

// nextFrame returns the first frame of the input. Its size is 0 while the frame is incomplete; its length and letter
// are validated as soon as they are there. Errors wrap errMalformedFrame.
func nextFrame(in []byte) (frame, error) {
	if len(in) < frameHeaderBytes {
		return frame{}, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length < 1 || length > maxFrameBytes {
		return frame{}, fmt.Errorf("%w: length %d", errMalformedFrame, length)
	}
	if len(in) == frameHeaderBytes {
		return frame{}, nil
	}
	letter := in[frameHeaderBytes]
	switch letter {
	case frameAnswer, frameHealthCheck, frameLoadReport, frameError:
	default:
		return frame{}, fmt.Errorf("%w: letter %q", errMalformedFrame, letter)
	}
	sizeBytes := frameHeaderBytes + int(length)
	if len(in) < sizeBytes {
		return frame{}, nil
	}
	return frame{letter: letter, body: in[frameHeaderBytes+1 : sizeBytes], sizeBytes: sizeBytes}, nil
}

// parseAnswer parses the body of an answer frame: a line and the value.
//
//	ID STATUS SCORE LOAD
//
// With statusNotHolder, which counts only while resharding, the epoch stands in place of the score. The load report is
// not parsed: none was asked for. Errors wrap errMalformedFrame; the answer returned with one still has the part's id,
// if it could be parsed.
func parseAnswer(body []byte, resharding bool) (answer, error) {
	line, value, hasValue := bytes.Cut(body, []byte{'\n'})
	fields := bytes.SplitN(line, []byte{' '}, 4)
	parsed := answer{partID: string(fields[0]), value: value}
	if !hasValue || len(fields) != 4 {
		return parsed, fmt.Errorf("%w: answer line %.100q", errMalformedFrame, line)
	}
	parsed.status = answerStatus(fields[1])
	if parsed.status == statusNotHolder && resharding {
		epoch, err := strconv.ParseUint(string(fields[2]), 10, 63)
		if err != nil || epoch == 0 {
			return parsed, fmt.Errorf("%w: epoch %.40q", errMalformedFrame, fields[2])
		}
		parsed.epoch = epoch
		return parsed, nil
	}
	if parsed.status != statusOK && parsed.status != statusFailed && parsed.status != statusRejected {
		return parsed, fmt.Errorf("%w: status %.20q", errMalformedFrame, parsed.status)
	}
	if _, err := strconv.ParseFloat(string(fields[2]), 64); err != nil {
		return parsed, fmt.Errorf("%w: score %.40q", errMalformedFrame, fields[2])
	}
	if parsed.status == statusOK && !core.ValidValue(value) {
		return parsed, fmt.Errorf("%w: value %.40q", errMalformedFrame, value)
	}
	return parsed, nil
}
