package backendpool

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/transport/loop"
)

func TestLossOutcome(t *testing.T) {
	const writtenBytes = 100
	for _, c := range []struct {
		name      string
		endOffset uint64
		code      logs.Code
		want      scheduler.Outcome
	}{
		{"not encoded", 0, logs.BackendReset, scheduler.ConnectFailed},
		{"partly written", writtenBytes + 1, logs.BackendReset, scheduler.ConnectFailed},
		{"completely written, reset", writtenBytes, logs.BackendReset, scheduler.ConnectionReset},
		{"completely written, closed", writtenBytes, logs.BackendClosed, scheduler.ConnectionReset},
		{"completely written, malformed frame", writtenBytes, logs.BackendMalformedFrame, scheduler.Cancelled},
		{"completely written, unresponsive", writtenBytes, logs.BackendUnresponsive, scheduler.Cancelled},
		{"partly written, malformed frame", writtenBytes + 1, logs.BackendMalformedFrame, scheduler.ConnectFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			connection := &connection{stream: &loop.Stream{BytesWritten: writtenBytes}}
			assert.Equal(t, c.want, connection.lossOutcome(&call{endOffset: c.endOffset}, c.code))
		})
	}
}

func TestOldestPart(t *testing.T) {
	ended, inFlight, unencoded := &part{ended: true}, &part{}, &part{}
	c := &connection{calls: []*call{
		{parts: []*part{unencoded}},
		{parts: []*part{ended, inFlight}, endOffset: 10},
		{parts: []*part{{}}, endOffset: 20},
	}}
	assert.Same(t, inFlight, c.oldestPart())
	c.calls = c.calls[:1]
	assert.Nil(t, c.oldestPart())
}
