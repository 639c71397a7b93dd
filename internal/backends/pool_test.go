package backends

import (
	"io"
	"math"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// outcomes notes what becomes of attempts, and stops the loop.
type outcomes struct {
	loop *loop.Loop
	got  []scheduler.Outcome
	at   float64
}

func (o *outcomes) AttemptEnded(_ *core.Attempt, x scheduler.Outcome, _ []byte) {
	o.AttemptEndedLater(nil, x)
}
func (o *outcomes) AttemptEndedLater(_ *core.Attempt, x scheduler.Outcome) {
	o.got, o.at = append(o.got, x), o.loop.Now()
	o.loop.Stop()
}

// pool is one before a node at this address.
func pool(t *testing.T, address string) (*Pool, *outcomes) {
	l, err := loop.New()
	require.NoError(t, err)
	o := &outcomes{loop: l}
	l.NewTimer(l.Stop).Set(l.ReadClock() + 4000) // should nothing become of them at all
	p := NewPool(l, o, logs.New(os.Stderr, "test"), Options{StreamsPerConnection: 8, DialTimeout: 5000, KeepAlive: 30000, MaxConnections: 8},
		func(uint32) string { return address })
	return p, o
}

// TestBeginsInItsTimeOrNotAtAll: a connection comes up after the time in which a part may begin, which is over when the
// window in which its node drops a repeat is, or the node has drained. It is told as never sent, in that time, and
// nothing of it goes out on the connection when that is up.
func TestBeginsInItsTimeOrNotAtAll(t *testing.T) {
	ln, drain, err := loopback.Full()
	require.NoError(t, err)
	defer ln.Close()
	p, o := pool(t, ln.Addr().String())
	begin := p.loop.ReadClock()
	p.Send(&core.Attempt{Request: "a", Backend: 1, Deadline: begin + 5000, StartBy: begin + 60})
	p.Flush()
	require.NoError(t, p.loop.Run())
	assert.Equal(t, []scheduler.Outcome{scheduler.ConnectFailed}, o.got)
	assert.InDelta(t, begin+80, o.at, 25)
	got := make(chan []byte)
	go func() {
		drain()
		c, err := ln.Accept()
		if err == nil {
			_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
			b, _ := io.ReadAll(c)
			got <- b
		}
	}()
	p.Close()
	select {
	case b := <-got:
		assert.Empty(t, b)
	case <-time.After(1500 * time.Millisecond): // the connection was closed before it came up
	}
}

// TestFrameWrittenInPart: a node takes nothing more, so that the end of a frame is still ours when the time of its part is
// over. The connection is closed, as the part would begin whenever the node reads on.
func TestFrameWrittenInPart(t *testing.T) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	defer ln.Close()
	p, o := pool(t, ln.Addr().String())
	now := p.loop.ReadClock()
	big := &core.Attempt{Request: "a", Backend: 1, Deadline: now + 5000, StartBy: now + 100, Query: make([]byte, 16<<20)}
	p.Send(big)
	p.Flush()
	c, err := ln.Accept()
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, p.loop.Run())
	assert.Equal(t, []scheduler.Outcome{scheduler.ConnectFailed}, o.got)
	assert.Less(t, o.at, now+300)
	assert.Zero(t, p.OpenConnections())
	n, _ := io.Copy(io.Discard, c)
	assert.Less(t, n, int64(16<<20))
	assert.True(t, math.IsInf(new(connection).startDeadline(), 1))
}
