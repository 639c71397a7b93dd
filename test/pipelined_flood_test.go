package test

import (
	"bytes"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

const (
	pipelinedClients  = 200
	pipelinedRequests = 900 // that a client sends at once
)

// pipelinedFloods are requests that are not queries, or queries that are invalid without ending their connection.
var pipelinedFloods = map[string]string{
	"unknown class":    "GET /x HTTP/1.1\r\nHost: a\r\nX-Class: x\r\nX-Request-Id: 1\r\n\r\n",
	"health check":     "GET /_health HTTP/1.1\r\nHost: a\r\n\r\n",
	"contracts page":   "GET /_contracts HTTP/1.1\r\nHost: a\r\n\r\n",
	"many fields":      "GET /x HTTP/1.1\r\n" + strings.Repeat("A1: b\r\n", 1) + manyFields(90) + "\r\n",
	"unknown tenant":   "POST /quote HTTP/1.1\r\nX-Request-Id: 1\r\nX-Tenant: y\r\nX-Deadline: 1\r\nContent-Length: 2\r\n\r\n{}",
	"read-only health": "POST /_health HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
}

// manyFields returns header fields with different short names.
func manyFields(count int) string {
	var fields strings.Builder
	for i := range count {
		fields.WriteString("f" + string(rune('a'+i%26)) + string(rune('a'+i/26)) + ":1\r\n")
	}
	return fields.String()
}

// TestFloodOfPipelinedRequestsLosesNoQuery has many clients send hundreds of small requests at once, and each again as
// soon as it is answered. Guards against an event loop on which one connection is served until its input is empty.
func TestFloodOfPipelinedRequestsLosesNoQuery(t *testing.T) {
	for name, text := range pipelinedFloods {
		t.Run(name, func(t *testing.T) {
			backends := startBackends(t, protocols[0], nil)
			p := start(t, options{endpoints: backends.endpoints})
			flood := startPipelinedFlood(p, text, pipelinedClients)
			time.Sleep(500 * time.Millisecond)
			requireFinalAnswers(t, protocols[0], p, floodDuration)
			flood.end()
			t.Logf("%d bad requests were answered", flood.answers.Load())
			logDelays(t, p)
			assert.Positive(t, flood.answers.Load())
		})
	}
}

// logDelays logs what the program reported about its delayed scheduling rounds.
func logDelays(t *testing.T, p *program) {
	t.Helper()
	for line := range strings.Lines(p.logged()) {
		if strings.Contains(line, "scheduling round delayed") {
			t.Log(strings.TrimSpace(line))
		}
	}
}

// pipelinedFlood is the clients that send requests without waiting for answers.
type pipelinedFlood struct {
	stop    chan struct{}
	clients sync.WaitGroup
	answers atomic.Int64
}

func startPipelinedFlood(p *program, text string, clients int) *pipelinedFlood {
	f := &pipelinedFlood{stop: make(chan struct{})}
	for range clients {
		f.clients.Go(func() {
			for !f.ended() {
				f.runConnection(p, text)
			}
		})
	}
	return f
}

func (f *pipelinedFlood) ended() bool {
	select {
	case <-f.stop:
		return true
	default:
		return false
	}
}

// end closes the connections of the flood.
func (f *pipelinedFlood) end() {
	close(f.stop)
	f.clients.Wait()
}

// runConnection sends on one connection until the connection or the flood ends.
func (f *pipelinedFlood) runConnection(p *program, text string) {
	connection, err := net.DialTimeout("tcp", p.httpAddr, time.Second)
	if err != nil {
		time.Sleep(20 * time.Millisecond)
		return
	}
	connectionEnded := make(chan struct{})
	go func() {
		select {
		case <-f.stop:
		case <-connectionEnded:
		}
		_ = connection.Close()
	}()
	defer close(connectionEnded)
	unsent := make(chan int, 1)
	unsent <- pipelinedRequests
	go f.sendRequests(connection, text, unsent, connectionEnded)
	f.countAnswers(connection, unsent)
}

// sendRequests sends as many requests as unsent says, each time that it says so.
func (f *pipelinedFlood) sendRequests(connection net.Conn, text string, unsent chan int, ended chan struct{}) {
	for {
		select {
		case count := <-unsent:
			if _, err := io.WriteString(connection, strings.Repeat(text, count)); err != nil {
				_ = connection.Close()
				return
			}
		case <-ended:
			return
		}
	}
}

// countAnswers reads answers until the connection ends, and adds their number to unsent.
func (f *pipelinedFlood) countAnswers(connection net.Conn, unsent chan int) {
	const statusLineStart = "HTTP/1.1 "
	buffer := make([]byte, 64<<10)
	keptBytes := 0
	for {
		count, err := connection.Read(buffer[keptBytes:])
		text := buffer[:keptBytes+count]
		answers := bytes.Count(text, []byte(statusLineStart))
		f.answers.Add(int64(answers))
		if err != nil {
			return
		}
		keptBytes = 0
		if last := bytes.LastIndexByte(text, 'H'); last >= 0 && len(text)-last < len(statusLineStart) {
			keptBytes = copy(buffer, text[last:])
		}
		if answers == 0 {
			continue
		}
		select {
		case waiting := <-unsent:
			unsent <- waiting + answers
		case unsent <- answers:
		}
	}
}
