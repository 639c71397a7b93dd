package backendpool

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"

	"ternstage/internal/core"
)

// A frame consists of a header, a letter and a body. The header is the length of the letter and the body as a
// big-endian 32-bit number. The letter is the type of the frame.
const (
	frameHeaderBytes = 4
	// maxFrameBytes is the maximum length in a header. It leaves room for a value of up to 64 KiB.
	maxFrameBytes = 80 << 10
)

// The letters of the frames.
const (
	frameQuery       = 'Q' // broker to backend: the parts of a call
	frameAbandon     = 'X' // broker to backend: a part was abandoned; the body is its ID
	frameHealthCheck = 'P' // never sent by this broker
	frameLoadReport  = 'L' // backend to broker: only in response to a health check
	frameAnswer      = 'A' // backend to broker: the answer to one part
	frameError       = 'E' // backend to broker: a frame was not understood
)

// answerStatus is the status of a part in an answer. The values are those of the wire format.
type answerStatus string

const (
	statusOK        answerStatus = "ok"
	statusFailed    answerStatus = "err"
	statusRejected  answerStatus = "busy"  // provably not run
	statusNotHolder answerStatus = "moved" // provably not run; only during resharding
)

// errMalformedFrame is wrapped by every error about a frame from a backend.
var errMalformedFrame = errors.New("malformed frame")

// frame is a complete frame that was received.
type frame struct {
	letter    byte
	body      []byte // a slice of the input
	sizeBytes int    // of header, letter and body; 0 if the frame is incomplete
}

// answer is the body of an answer frame.
type answer struct {
	partID string
	status answerStatus
	epoch  uint64 // of the backend's shard map; only with statusNotHolder
	value  []byte // a slice of the input
}

// beginFrame appends a header with length 0 and the letter to out. The caller appends the body and then calls
// endFrame.
func beginFrame(out []byte, letter byte) []byte { return append(out, 0, 0, 0, 0, letter) }

// endFrame sets the length in the header of the frame that begins at out[start] and ends at the end of out.
func endFrame(out []byte, start int) {
	binary.BigEndian.PutUint32(out[start:], uint32(len(out)-start-frameHeaderBytes))
}

// appendPart appends one part to a query frame. The part is a line followed by the payload, LENGTH bytes long:
//
//	ID SHARD d=240,k=7f3a,e=17,r=120-135 LENGTH
//
// d is the remaining time for which the broker waits, in ms. k is the idempotency key, if there is one. During
// resharding, e is the epoch of the shard map that routed the part and r is its range of buckets, which excludes the
// last number.
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

// nextFrame returns the first frame in the input. The size of the returned frame is 0 if the frame is incomplete. The
// length and the letter are validated as soon as they have arrived. Errors wrap errMalformedFrame.
func nextFrame(in []byte) (frame, error) {
	if len(in) < frameHeaderBytes {
		return frame{}, nil
	}
	length := binary.BigEndian.Uint32(in)
	if length < 1 || length > maxFrameBytes {
		return frame{}, fmt.Errorf("%w: length %d, want 1 to %d", errMalformedFrame, length, maxFrameBytes)
	}
	if len(in) == frameHeaderBytes {
		return frame{}, nil
	}
	letter := in[frameHeaderBytes]
	switch letter {
	case frameAnswer, frameHealthCheck, frameLoadReport, frameError:
	default:
		return frame{}, fmt.Errorf("%w: letter %q is not one of a backend's frames", errMalformedFrame, letter)
	}
	sizeBytes := frameHeaderBytes + int(length)
	if len(in) < sizeBytes {
		return frame{}, nil
	}
	return frame{letter: letter, body: in[frameHeaderBytes+1 : sizeBytes], sizeBytes: sizeBytes}, nil
}

// parseAnswer parses the body of an answer frame. The body is a line followed by the value:
//
//	ID STATUS SCORE LOAD
//
// With statusNotHolder, which is valid only if resharding is true, the third field is the epoch instead of the score.
// The load report is not parsed, because this broker does not request one. Errors wrap errMalformedFrame. An answer
// that is returned with an error still has the part's ID if that could be parsed.
func parseAnswer(body []byte, resharding bool) (answer, error) {
	line, value, hasValue := bytes.Cut(body, []byte{'\n'})
	fields := bytes.SplitN(line, []byte{' '}, 4)
	parsed := answer{partID: string(fields[0]), value: value}
	if !hasValue || len(fields) != 4 {
		return parsed, fmt.Errorf("%w: answer line %.100q, want 4 fields and a line feed", errMalformedFrame, line)
	}
	parsed.status = answerStatus(fields[1])
	if parsed.status == statusNotHolder && resharding {
		epoch, err := strconv.ParseUint(string(fields[2]), 10, 63)
		if err != nil || epoch == 0 {
			return parsed, fmt.Errorf("%w: epoch %.40q, want a positive integer", errMalformedFrame, fields[2])
		}
		parsed.epoch = epoch
		return parsed, nil
	}
	if parsed.status != statusOK && parsed.status != statusFailed && parsed.status != statusRejected {
		return parsed, fmt.Errorf("%w: unexpected status %.20q", errMalformedFrame, parsed.status)
	}
	if _, err := strconv.ParseFloat(string(fields[2]), 64); err != nil {
		return parsed, fmt.Errorf("%w: score %.40q, want a number", errMalformedFrame, fields[2])
	}
	if parsed.status == statusOK && !core.ValidValue(value) {
		return parsed, fmt.Errorf("%w: value %.40q, want non-empty UTF-8", errMalformedFrame, value)
	}
	return parsed, nil
}
