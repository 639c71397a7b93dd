package backends

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/core"
	"ternstage/internal/decision/scheduler"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
)

// fullHouse is a node that holds so many connections: on one more it answers the first part with busy and closes.
// What it holds answers ok after release, or busy where queue says that its queue is full.
type fullHouse struct {
	ln      net.Listener
	mu      sync.Mutex
	holds   int32
	open    atomic.Int32
	queue   bool
	release chan struct{}
}

func (h *fullHouse) serve(c net.Conn, held bool) {
	defer h.open.Add(-1)
	defer c.Close()
	head := make([]byte, 4)
	for {
		if _, err := io.ReadFull(c, head); err != nil {
			return
		}
		body := make([]byte, binary.BigEndian.Uint32(head))
		if _, err := io.ReadFull(c, body); err != nil || body[0] != frameQuery {
			return
		}
		id, end := strings.Fields(string(body[1:]))[0], "ok"
		h.mu.Lock()
		if !held || h.queue {
			end = "busy"
		}
		h.mu.Unlock()
		if held {
			<-h.release
		}
		text := fmt.Sprintf("A%s %s 1 -\nv", id, end)
		_, _ = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(text))), text...))
		if !held {
			return
		}
	}
}

type told struct {
	outcome scheduler.Outcome
	alone   bool
}

// rounds sends parts in rounds, each once all of the one before have ended, and notes how they end.
type rounds struct {
	loop *loop.Loop
	left int
	got  []map[told]int
	next func(round int) (more bool)
}

func (o *rounds) AttemptEnded(a *core.Attempt, x scheduler.Outcome, _ []byte) {
	o.AttemptEndedLater(a, x)
}
func (o *rounds) AttemptEndedLater(a *core.Attempt, x scheduler.Outcome) {
	o.got[len(o.got)-1][told{x, a.ConnectionOnly}]++
	if o.left--; o.left == 0 && !o.next(len(o.got)) {
		o.loop.Stop()
	}
}

// TestConnectionTurnedAwayTellsOfConnections: a node holds two connections and six parts go out at once. What is turned
// away on the others is told as their connection's, the pool opens fewer, and soon six share what stands, none turned
// away. Busy on a connection that stands is told as a full queue, and lowers nothing.
func TestConnectionTurnedAwayTellsOfConnections(t *testing.T) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	defer ln.Close()
	h := &fullHouse{ln: ln, holds: 2, release: make(chan struct{}, 64)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go h.serve(c, h.open.Add(1) <= h.holds)
		}
	}()
	l, err := loop.New()
	require.NoError(t, err)
	o := &rounds{loop: l}
	p := NewPool(l, o, logs.New(os.Stderr, "test"), Options{StreamsPerConnection: 8, DialTimeout: 1000, KeepAlive: 30000, MaxConnections: 8},
		func(uint32) string { return ln.Addr().String() })
	l.OnRoundEnd(p.Flush)
	l.NewTimer(l.Stop).Set(l.ReadClock() + 3000)
	n := 0
	send := func(parts int) {
		o.left, o.got = parts, append(o.got, map[told]int{})
		for range parts {
			n++
			p.Send(&core.Attempt{Request: fmt.Sprint("q", n), Backend: 1, Deadline: l.ReadClock() + 3000, StartBy: l.ReadClock() + 3000})
			h.release <- struct{}{}
		}
	}
	var limit connectionLimit
	o.next = func(round int) bool {
		switch served := o.got[round-1][told{scheduler.Succeeded, false}]; {
		case h.queue:
			return false
		case served < 6 && round < 6:
			send(6)
		default:
			h.mu.Lock()
			h.queue, limit = true, p.connectionLimit
			h.mu.Unlock()
			send(4)
		}
		return true
	}
	send(6)
	p.Flush()
	require.NoError(t, l.Run())
	assert.Positive(t, o.got[0][told{scheduler.Rejected, true}], o.got[0])
	last := len(o.got) - 1
	for _, got := range o.got[:last] {
		assert.Zero(t, got[told{scheduler.Rejected, false}], got)
	}
	assert.Equal(t, map[told]int{{scheduler.Succeeded, false}: 6}, o.got[last-1], "they share what stands: %v", o.got)
	assert.Equal(t, map[told]int{{scheduler.Rejected, false}: 4}, o.got[last])
	assert.Equal(t, limit, p.connectionLimit, "a full queue says nothing of connections")
	assert.Less(t, limit.current(l.Now()), maxUnsharedConnections)
	p.Close()
}

// TestLimitsComeDownToWhatNodesHold: any number of brokers before nodes that hold one to four connections for each of them,
// all wanting up to six at each node. In the last 20 s of 30 nearly every broker has a connection to each node, few are
// turned away, and most of what nodes hold is used. A limit is never under one, nor over spread, and is back there in 20 s.
func TestLimitsComeDownToWhatNodesHold(t *testing.T) {
	const nodes, step, settled, end = 6, 250.0, 10000.0, 30000.0
	for _, n := range []int{2, 8, 24, 48, 80, 300, 1000} {
		for _, held := range []float64{1.2, 2, 3.3} {
			holds := int(held * float64(n))
			dice := rand.New(rand.NewPCG(uint64(holds), 7))
			limits, have, used := make([]connectionLimit, n), make([][nodes]int, n), [nodes]int{}
			over, none, asked := 0, 0, 0
			for now := 0.0; now < end; now += step {
				for _, i := range dice.Perm(n) {
					l := &limits[i]
					for k := range nodes {
						for have[i][k] > l.current(now) { // idle ones beyond the limit are closed
							have[i][k], used[k] = have[i][k]-1, used[k]-1
						}
						for want := min(l.current(now), 1+dice.IntN(6)); have[i][k] < want; {
							if used[k] == holds {
								l.connectionRejected(now, now)
								if over++; have[i][k] == 0 {
									none++
								}
								break
							}
							have[i][k], used[k] = have[i][k]+1, used[k]+1
						}
						asked++
						if x := l.current(now); x < 1 || x > maxUnsharedConnections {
							t.Fatalf("limit %d", x)
						}
					}
				}
				if now == settled {
					over, none, asked = 0, 0, 0
				}
			}
			sum := 0
			for k := range nodes {
				sum += used[k]
			}
			assert.Less(t, float64(none)/float64(asked), 0.01, "%d brokers, %v held: without any", n, held)
			assert.Less(t, float64(over)/float64(asked), 0.06, "%d brokers, %v held: turned away", n, held)
			assert.Greater(t, float64(sum), 0.5*float64(holds*nodes), "%d brokers, %v held: used", n, held)
			for i := range limits {
				assert.Equal(t, maxUnsharedConnections, limits[i].current(end+maxUnsharedConnections*limitGrowthMs))
			}
		}
	}
}
