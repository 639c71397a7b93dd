package relay

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/loopback"
)

// startEcho starts a server that sends back what it receives and also puts it into a channel.
func startEcho(t *testing.T) (addr string, received chan string) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	received = make(chan string, 100)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1024)
				for {
					n, err := c.Read(b)
					if err != nil {
						_ = c.Close()
						return
					}
					received <- string(b[:n])
					_, _ = c.Write(b[:n])
				}
			}()
		}
	}()
	return ln.Addr().String(), received
}

// startRelay starts a relay before an echo server and returns it with a connection through it.
func startRelay(t *testing.T, frames bool) (*Relay, net.Conn, chan string) {
	target, received := startEcho(t)
	r, err := New(target, frames)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return r, c, received
}

// hello is a frame.
const hello = "\x00\x00\x00\x05hello"

// readString reads n bytes.
func readString(t *testing.T, c net.Conn, n int) string {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	require.NoError(t, err)
	return string(b)
}

// TestForwardsAndDelays checks that data goes both ways unchanged, and that each way takes the delay.
func TestForwardsAndDelays(t *testing.T) {
	r, c, _ := startRelay(t, true)
	_, _ = c.Write([]byte(hello))
	assert.Equal(t, hello, readString(t, c, len(hello)))
	r.Set(Fault{Delay: 60 * time.Millisecond, Jitter: 20 * time.Millisecond})
	sentAt := time.Now()
	_, _ = c.Write([]byte(hello))
	assert.Equal(t, hello, readString(t, c, len(hello)))
	assert.GreaterOrEqual(t, time.Since(sentAt), 120*time.Millisecond, "the delay of both ways")
}

// TestDuplicatesFramesOfTarget checks that frames of the target come twice and data to it once.
func TestDuplicatesFramesOfTarget(t *testing.T) {
	r, c, received := startRelay(t, true)
	r.Set(Fault{DuplicateShare: 1})
	_, _ = c.Write([]byte(hello))
	assert.Equal(t, hello+hello, readString(t, c, 2*len(hello)))
	assert.Equal(t, hello, <-received, "data to the target is not duplicated")
	assert.Empty(t, received)
	assert.Equal(t, 1, r.Stats().Duplicated)
}

// TestCutIsSilentAndResetsLater: during a cut no data may pass and no side may get an error, and new connections are
// accepted without an answer. Once the cut ends, connections that lost data must be reset, new ones must work, and
// one that sent nothing during the cut goes on.
func TestCutIsSilentAndResetsLater(t *testing.T) {
	r, c, received := startRelay(t, true)
	idle, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, _ = idle.Write([]byte(hello))
	readString(t, idle, len(hello))
	<-received
	r.Set(Fault{Cut: true})
	_, err = c.Write([]byte(hello))
	require.NoError(t, err)
	late, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err, "the relay accepts connections during a cut")
	_, _ = late.Write([]byte(hello))
	for _, x := range []net.Conn{c, late} {
		_ = x.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err = x.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "neither data nor an error")
	}
	assert.Empty(t, received)
	r.Set(Fault{})
	for _, x := range []net.Conn{c, late} {
		_ = x.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = x.Read(make([]byte, 1))
		assert.Error(t, err)
	}
	_, _ = idle.Write([]byte(hello))
	assert.Equal(t, hello, readString(t, idle, len(hello)))
	fresh, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, _ = fresh.Write([]byte(hello))
	assert.Equal(t, hello, readString(t, fresh, len(hello)))
	assert.Positive(t, r.Stats().Reset)
}
