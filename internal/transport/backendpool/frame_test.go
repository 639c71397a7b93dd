package backendpool

import (
	"encoding/binary"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
	"ternstage/internal/decision/shardmap"
)

// frameBytes returns an encoded frame.
func frameBytes(letter byte, body string) []byte {
	out := append(beginFrame(nil, letter), body...)
	endFrame(out, 0)
	return out
}

func TestAppendPart(t *testing.T) {
	for _, c := range []struct {
		name    string
		attempt core.Attempt
		want    string
	}{
		{"plain", core.Attempt{Shard: 3, Payload: []byte("text")}, "id 3 d=240 4\ntext"},
		{"idempotency key", core.Attempt{Shard: 3, IdempotencyKey: "7f3a"}, "id 3 d=240,k=7f3a 0\n"},
		{"resharding", core.Attempt{Shard: 3, Epoch: 17, Buckets: shardmap.Range{Start: 120, End: 135},
			Payload: []byte("q")}, "id 3 d=240,e=17,r=120-135 1\nq"},
		{"all", core.Attempt{IdempotencyKey: "k", Epoch: 1, Buckets: shardmap.Range{Start: 0, End: 1}},
			"id 0 d=240,k=k,e=1,r=0-1 0\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.want, string(appendPart(nil, "id", &c.attempt, 240)))
		})
	}
}

func TestConsecutiveFrames(t *testing.T) {
	out := frameBytes(frameQuery, "ab")
	start := len(out)
	out = beginFrame(out, frameAbandon)
	out = append(out, "a.1"...)
	endFrame(out, start)
	assert.Equal(t, "\x00\x00\x00\x03Qab\x00\x00\x00\x04Xa.1", string(out))
}

func TestNextFrame(t *testing.T) {
	complete := frameBytes(frameAnswer, "body")
	for size := range complete {
		got, err := nextFrame(complete[:size])
		require.NoError(t, err)
		assert.Zero(t, got.sizeBytes, "incomplete with %d bytes", size)
	}
	for _, letter := range []byte{frameAnswer, frameHealthCheck, frameLoadReport, frameError} {
		in := frameBytes(letter, "body")
		got, err := nextFrame(append(in, "next"...))
		require.NoError(t, err)
		assert.Equal(t, frame{letter: letter, body: []byte("body"), sizeBytes: len(in)}, got)
	}
	largest := frameBytes(frameAnswer, strings.Repeat("x", maxFrameBytes-1))
	got, err := nextFrame(largest)
	require.NoError(t, err)
	assert.Equal(t, len(largest), got.sizeBytes)
}

func TestNextFrameRejects(t *testing.T) {
	for _, c := range []struct {
		name, text string
		in         []byte
	}{
		{"length 0", "malformed frame: length 0, want 1 to 81920", make([]byte, frameHeaderBytes)},
		{"too long", "malformed frame: length 81921, want 1 to 81920",
			binary.BigEndian.AppendUint32(nil, maxFrameBytes+1)},
		{"broker's letter", "malformed frame: letter 'Q' is not one of a backend's frames", frameBytes(frameQuery, "")},
		{"unknown letter in an incomplete frame", "malformed frame: letter 'Z' is not one of a backend's frames",
			frameBytes('Z', "body")[:5]},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := nextFrame(c.in)
			require.ErrorIs(t, err, errMalformedFrame)
			assert.EqualError(t, err, c.text)
		})
	}
}

func TestParseAnswer(t *testing.T) {
	for _, c := range []struct {
		name, body string
		resharding bool
		want       answer
	}{
		{"ok", "a.1 ok 0.5 -\nvalue", false, answer{partID: "a.1", status: statusOK, value: []byte("value")}},
		{"failed", "a.1 err 1 -\n", false, answer{partID: "a.1", status: statusFailed, value: []byte{}}},
		{"rejected", "a.1 busy 1 -\n", false, answer{partID: "a.1", status: statusRejected, value: []byte{}}},
		{"not holder", "a.1 moved 17 -\n", true,
			answer{partID: "a.1", status: statusNotHolder, epoch: 17, value: []byte{}}},
		{"load report is not parsed", "a.1 err 1 x y z\n", false,
			answer{partID: "a.1", status: statusFailed, value: []byte{}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseAnswer([]byte(c.body), c.resharding)
			require.NoError(t, err)
			assert.Equal(t, c.want, got)
		})
	}
}

func TestParseAnswerRejects(t *testing.T) {
	for _, c := range []struct {
		name, body string
		resharding bool
		text       string
	}{
		{"no line feed", "a.1 ok 1 -", false,
			`malformed frame: answer line "a.1 ok 1 -", want 4 fields and a line feed`},
		{"three fields", "a.1 ok 1\n", false,
			`malformed frame: answer line "a.1 ok 1", want 4 fields and a line feed`},
		{"unknown status", "a.1 fine 1 -\n", false, `malformed frame: unexpected status "fine"`},
		{"not holder without resharding", "a.1 moved 17 -\n", false, `malformed frame: unexpected status "moved"`},
		{"epoch 0", "a.1 moved 0 -\n", true, `malformed frame: epoch "0", want a positive integer`},
		{"epoch is not a number", "a.1 moved x -\n", true, `malformed frame: epoch "x", want a positive integer`},
		{"score is not a number", "a.1 busy x -\n", false, `malformed frame: score "x", want a number`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := parseAnswer([]byte(c.body), c.resharding)
			require.ErrorIs(t, err, errMalformedFrame)
			assert.EqualError(t, err, c.text)
			assert.Equal(t, "a.1", got.partID, "the part's ID is parsed despite the error")
		})
	}
}
