package backends

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"ternstage/internal/core"
)

// The letters of frames.
const (
	frameQuery   = 'Q'
	frameAbandon = 'X'
	frameProbe   = 'P'
	frameLoad    = 'L'
	frameAnswer  = 'A'
	frameError   = 'E'
)

const (
	frameHeaderBytes = 4
	maxFrameBytes    = 80 << 10 // bytes: a value goes into a body of 64 KiB at most
)

var errMalformedFrame = errors.New("the frame cannot be used")

// beginFrame appends the head of a frame, to be closed by finish.
func beginFrame(out []byte, letter byte) []byte { return append(out, 0, 0, 0, 0, letter) }

func finishFrame(out []byte, at int) []byte {
	binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at-frameHeaderBytes))
	return out
}

// appendPart adds one part to a Q frame: its line and the query's text. The list holds the time that we wait
// and, where the client gave one, the key by which the node drops repeats: d=240,k=7f3a. Where slices move,
// it also tells the epoch by which the part was routed and its districts: d=240,e=17,r=120-135, the last one
// not included.
func appendPart(out []byte, id string, a *core.Attempt, wait int, text []byte) []byte {
	out = append(out, id...)
	out = append(out, ' ')
	out = strconv.AppendInt(out, int64(a.Shard), 10)
	out = append(out, " d="...)
	out = strconv.AppendInt(out, int64(wait), 10)
	if a.IdempotencyKey != "" {
		out = append(append(out, ",k="...), a.IdempotencyKey...)
	}
	if a.Epoch > 0 {
		out = append(out, ",e="...)
		out = strconv.AppendUint(out, a.Epoch, 10)
		out = append(out, ",r="...)
		out = append(out, a.Buckets.String()...)
	}
	out = append(out, ' ')
	out = strconv.AppendInt(out, int64(len(text)), 10)
	out = append(out, '\n')
	return append(out, text...)
}

// nextFrame splits the first whole frame off in. size is 0 while it is not whole; what can be told of a frame
// that is not is checked at once.
func nextFrame(in []byte) (letter byte, rest []byte, size int, err error) {
	if len(in) < frameHeaderBytes {
		return 0, nil, 0, nil
	}
	n := binary.BigEndian.Uint32(in)
	if n < 1 || n > maxFrameBytes {
		return 0, nil, 0, fmt.Errorf("%w: length %d", errMalformedFrame, n)
	}
	if len(in) > frameHeaderBytes {
		switch letter = in[frameHeaderBytes]; letter {
		case frameAnswer, frameProbe, frameLoad, frameError:
		default:
			return 0, nil, 0, fmt.Errorf("%w: letter %q", errMalformedFrame, letter)
		}
	}
	if size = frameHeaderBytes + int(n); len(in) < size {
		return 0, nil, 0, nil
	}
	return letter, in[frameHeaderBytes+1 : size], size, nil
}

// The ends of an answer.
const (
	statusOK        = "ok"
	statusFailed    = "err"
	statusRejected  = "busy"
	statusNotHolder = "moved" // where slices move: it does not hold the districts; its epoch stands for the score
)

// answer is an A frame.
type answer struct {
	partID, status string
	epoch          uint64 // of moved
	value          []byte
}

// parseAnswer reads an A frame. An answer that cannot be read may still tell whose it is. The report has no
// say: no probe is sent, and one that cannot be read spoils only itself.
func parseAnswer(rest []byte, slices bool) (answer, error) {
	line, value, ok := bytes.Cut(rest, []byte{'\n'})
	f := bytes.SplitN(line, []byte{' '}, 4)
	a := answer{partID: string(f[0]), value: value}
	if !ok || len(f) != 4 {
		return a, fmt.Errorf("%w: answer line %.100q", errMalformedFrame, line)
	}
	if a.status = string(f[1]); a.status == statusNotHolder && slices {
		var err error
		if a.epoch, err = strconv.ParseUint(string(f[2]), 10, 63); err != nil || a.epoch == 0 {
			return a, fmt.Errorf("%w: epoch %.40q", errMalformedFrame, f[2])
		}
		return a, nil
	}
	if a.status != statusOK && a.status != statusFailed && a.status != statusRejected {
		return a, fmt.Errorf("%w: end %.20q", errMalformedFrame, a.status)
	}
	if _, err := strconv.ParseFloat(string(f[2]), 64); err != nil {
		return a, fmt.Errorf("%w: score %.40q", errMalformedFrame, f[2])
	}
	if a.status == statusOK && !core.ValidValue(value) {
		return a, fmt.Errorf("%w: value %.40q", errMalformedFrame, value)
	}
	return a, nil
}
