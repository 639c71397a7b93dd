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

// echo sends back whatever comes, and says on a channel what came.
func echo(t *testing.T) (addr string, came chan string) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	came = make(chan string, 100)
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
					came <- string(b[:n])
					_, _ = c.Write(b[:n])
				}
			}()
		}
	}()
	return ln.Addr().String(), came
}

func start(t *testing.T, frames bool) (*Relay, net.Conn, chan string) {
	target, came := echo(t)
	r, err := New(target, frames)
	require.NoError(t, err)
	t.Cleanup(r.Close)
	c, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return r, c, came
}

const hello = "\x00\x00\x00\x05hello"

func get(t *testing.T, c net.Conn, n int) string {
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	require.NoError(t, err)
	return string(b)
}

func TestPassesOnAndDelays(t *testing.T) {
	r, c, _ := start(t, true)
	_, _ = c.Write([]byte(hello))
	assert.Equal(t, hello, get(t, c, len(hello)))
	r.Set(Fault{Delay: 60 * time.Millisecond, Jitter: 20 * time.Millisecond})
	at := time.Now()
	_, _ = c.Write([]byte(hello))
	assert.Equal(t, hello, get(t, c, len(hello)))
	assert.GreaterOrEqual(t, time.Since(at), 120*time.Millisecond, "there and back")
}

func TestRepeatsWholeFrames(t *testing.T) {
	r, c, came := start(t, true)
	r.Set(Fault{DuplicateShare: 1})
	_, _ = c.Write([]byte(hello))
	assert.Equal(t, hello+hello, get(t, c, 2*len(hello)))
	assert.Equal(t, hello, <-came, "what goes to the target goes once")
	assert.Empty(t, came)
	assert.Equal(t, 1, r.Stats().Duplicated)
}

// TestCutIsSilentAndResetsLater: nothing gets through and nobody is told; new connections come up and stay silent; once
// the way is back those that lost something are reset, and new ones work. One that sent nothing meanwhile goes on.
func TestCutIsSilentAndResetsLater(t *testing.T) {
	r, c, came := start(t, true)
	idle, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, _ = idle.Write([]byte(hello))
	get(t, idle, len(hello))
	<-came
	r.Set(Fault{Cut: true})
	_, err = c.Write([]byte(hello))
	require.NoError(t, err)
	late, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err, "it comes up")
	_, _ = late.Write([]byte(hello))
	for _, x := range []net.Conn{c, late} {
		_ = x.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err = x.Read(make([]byte, 1))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "silent")
	}
	assert.Empty(t, came)
	r.Set(Fault{})
	for _, x := range []net.Conn{c, late} {
		_ = x.SetReadDeadline(time.Now().Add(5 * time.Second))
		_, err = x.Read(make([]byte, 1))
		assert.Error(t, err)
	}
	_, _ = idle.Write([]byte(hello))
	assert.Equal(t, hello, get(t, idle, len(hello)))
	again, err := net.Dial("tcp", r.Addr())
	require.NoError(t, err)
	_, _ = again.Write([]byte(hello))
	assert.Equal(t, hello, get(t, again, len(hello)))
	assert.Positive(t, r.Stats().Reset)
}
