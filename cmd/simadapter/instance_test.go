package main

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/transport/simwire"
)

// newInstance returns an instance with a scheduler.
func newInstance(t *testing.T) *instance {
	t.Helper()
	settings, err := simwire.ParseSettings([]byte(settingsText))
	require.NoError(t, err)
	in := &instance{id: 4}
	in.scheduler, err = scheduler.New(settings, 1, in)
	require.NoError(t, err)
	return in
}

func TestPanicBecomesAFault(t *testing.T) {
	in := newInstance(t)
	in.callScheduler(func() { panic("index out of range") })
	assert.Nil(t, in.scheduler)
	in.callScheduler(func() { t.Error("a call after the panic") })

	var reply simwire.Reply
	reply.Reset(1)
	for _, action := range in.actions {
		action(&reply)
	}
	var out bytes.Buffer
	_, err := reply.WriteTo(&out)
	require.NoError(t, err)
	assert.Equal(t, byte(simwire.ActionFault), out.Bytes()[simwire.ReplyHeaderSize])
	assert.True(t, bytes.HasSuffix(out.Bytes(), []byte("index out of range")), "%q", out.String())
}

func TestActionsGoIntoTheReplyInTheirOrder(t *testing.T) {
	in := newInstance(t)
	var _ scheduler.Actions = in
	in.Send(1, 2, 3)
	in.Cancel(1, 0)
	in.CloseIdleConnections(2)
	in.Answer(5, true)
	in.Reject(6, 7)
	in.Fail(8)
	in.SetTimer(9)
	in.WatchEndpoints()
	in.Log("text")
	var got, want simwire.Reply
	in.flushActions(&got)
	assert.Empty(t, in.actions)
	want.SelectInstance(4)
	want.Send(1, 3, 2)
	want.Cancel(1, 0)
	want.CloseIdleConnections(2)
	want.Answer(5, true)
	want.Reject(6, 7)
	want.Fail(8)
	want.SetTimer(9, 0)
	want.WatchEndpoints()
	want.Log("text")
	assert.Equal(t, &want, &got)
}
