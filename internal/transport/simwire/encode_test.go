package simwire

import (
	"bytes"
	"encoding/hex"
	"errors"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func encodeHex(text string) string { return hex.EncodeToString([]byte(text)) }

// encodeReply returns the frame of a reply.
func encodeReply(t *testing.T, reply *Reply) []byte {
	t.Helper()
	var out bytes.Buffer
	written, err := reply.WriteTo(&out)
	require.NoError(t, err)
	require.Equal(t, int64(out.Len()), written)
	return out.Bytes()
}

func TestReplyMatchesTheWire(t *testing.T) {
	var reply Reply
	reply.Reset(12)
	reply.SelectInstance(3)
	reply.Send(0xe4f25d3a91c4, 80, 0x03124a07)
	reply.SetTimer(500, 77)
	reply.SelectInstance(5)
	reply.Log("two servers known")
	want := decodeHex(t, "0c000000 05000000 89000000"+
		actionRecord("0c 03000000")+
		actionRecord("05 c4913a5df2e40000 0000000000005440 074a1203")+
		actionRecord("04 0000000000407f40 4d000000")+
		actionRecord("0c 05000000")+
		actionRecord("08 00000000 11000000")+encodeHex("two servers known"))
	assert.Equal(t, want, encodeReply(t, &reply))
}

func TestEachActionMatchesTheWire(t *testing.T) {
	for _, c := range []struct {
		name   string
		act    func(*Reply)
		record string
		tail   string
	}{
		{"SelectInstance", func(r *Reply) { r.SelectInstance(0) }, "0c 00000000", ""},
		{"Send", func(r *Reply) { r.Send(7, 80, 9) }, "05 0700000000000000 0000000000005440 09000000", ""},
		{"Cancel", func(r *Reply) { r.Cancel(7, 258) }, "0d 0700000000000000 0201", ""},
		{"CloseIdleConnections", func(r *Reply) { r.CloseIdleConnections(9) }, "03 09000000", ""},
		{"Answer, complete", func(r *Reply) { r.Answer(7, true) }, "07 0700000000000000 01", ""},
		{"Answer, partial", func(r *Reply) { r.Answer(7, false) }, "07 0700000000000000 00", ""},
		{"Reject", func(r *Reply) { r.Reject(7, 80) }, "0b 0700000000000000 0000000000005440", ""},
		{"Fail", func(r *Reply) { r.Fail(7) }, "0a 0700000000000000", ""},
		{"SetTimer", func(r *Reply) { r.SetTimer(80, 4) }, "04 0000000000005440 04000000", ""},
		{"WatchEndpoints", (*Reply).WatchEndpoints, "0e 01", ""},
		{"Log", func(r *Reply) { r.Log("ab") }, "08 00000000 02000000", "ab"},
		{"Fault", func(r *Reply) { r.Fault("abc") }, "01 00000000 03000000", "abc"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var reply Reply
			reply.Reset(1)
			c.act(&reply)
			size := hex.EncodeToString([]byte{byte(ActionSize + len(c.tail))})
			want := decodeHex(t, "01000000 01000000"+size+"000000"+actionRecord(c.record)+encodeHex(c.tail))
			assert.Equal(t, want, encodeReply(t, &reply))
		})
	}
}

func TestTextsShareTheTail(t *testing.T) {
	var reply Reply
	reply.Reset(1)
	reply.Log("ab")
	reply.Log("c")
	want := decodeHex(t, "01000000 02000000 33000000"+actionRecord("08 00000000 02000000")+
		actionRecord("08 02000000 01000000")+encodeHex("abc"))
	assert.Equal(t, want, encodeReply(t, &reply))
}

func TestResetEmptiesTheReply(t *testing.T) {
	var reply Reply
	reply.Reset(1)
	reply.SelectInstance(3)
	reply.Log("ab")
	reply.Reset(2)
	assert.Equal(t, decodeHex(t, "02000000 00000000 00000000"), encodeReply(t, &reply))
	reply.SelectInstance(3)
	assert.Equal(t, decodeHex(t, "02000000 01000000 18000000"+actionRecord("0c 03000000")), encodeReply(t, &reply),
		"Reset forgets the selected instance")
	reply.SelectInstance(3)
	assert.Equal(t, decodeHex(t, "02000000 01000000 18000000"+actionRecord("0c 03000000")), encodeReply(t, &reply),
		"the instance is selected already")
}

// brokenPipe is a writer whose writes fail.
type brokenPipe struct{}

var errBroken = errors.New("broken pipe")

func (brokenPipe) Write([]byte) (int, error) { return 0, errBroken }

func TestWriteToReturnsTheError(t *testing.T) {
	var reply Reply
	_, err := reply.WriteTo(brokenPipe{})
	assert.ErrorIs(t, err, errBroken)
}
