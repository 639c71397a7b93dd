package test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestUnfinishedRequests has clients that send nothing, part of a request or a request without end. Each must be
// answered or closed within 3 s, or as soon as its request is too large, while others are served. Guards descriptors,
// memory and the event loop.
func TestUnfinishedRequests(t *testing.T) {
	_, p := startWithBackends(t, nil, options{maxDescriptors: 256})
	big := requestHead("big", "Content-Length: 60000000\r\n")
	for _, c := range []struct {
		name, bytes, more string // more is sent repeatedly without end
		pause             time.Duration
		status            int // 0: closed without an answer
		code              string
	}{
		{"nothing", "", "", 0, 0, "C07"},
		{"half a head", "POST /quote HTTP/1.1\r\nHost", "", 0, 408, "C06"},
		{"half a body", requestText("half", validBody)[:200], "", 0, 408, "C06"},
		{"endless request line, byte by byte", "POST /quote HTTP/1.1\r\nHost: ", "x", 20 * time.Millisecond, 408, "C06"},
		{"endless header", "POST /quote HTTP/1.1\r\n", "A: b\r\n", 0, 431, "C04"},
		{"60 MB", big, strings.Repeat("x", 64<<10), 0, 413, "C04"},
		{"idle", "GET /_health HTTP/1.1\r\n\r\n", "", 0, 200, "C05"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			conn, at := dial(t, p), time.Now()
			_, err := io.WriteString(conn, c.bytes)
			require.NoError(t, err)
			sender := make(chan struct{})
			go func() {
				defer close(sender)
				for c.more != "" {
					if _, err := io.WriteString(conn, c.more); err != nil {
						return
					}
					time.Sleep(c.pause)
				}
			}()
			status := 0
			r := bufio.NewReader(conn)
			if a, err := http.ReadResponse(r, nil); err == nil {
				status = a.StatusCode
				_, _ = io.Copy(io.Discard, a.Body)
			}
			assert.Equal(t, c.status, status)
			if status != 200 {
				assert.Less(t, time.Since(at), 3*time.Second)
			}
			_, _ = io.Copy(io.Discard, r) // until the close
			<-sender                      // it ends once the connection is closed
			peer := fmt.Sprintf(`"code":"%s","peer":"%s"`, c.code, conn.LocalAddr())
			p.waitForLog(peer)
		})
	}
	for range 20 {
		requireOutcome(t, p, fmt.Sprint(time.Now().UnixNano()), "quote", "served")
	}
}

// TestClientThatReadsNothing has a client send requests without reading the answers. The program must stop reading
// from it. Guards memory.
func TestClientThatReadsNothing(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	c := dial(t, p)
	wrong := strings.Repeat("GET /quote HTTP/1.1\r\n\r\n", 1000)
	var sent int
	for sent = 0; sent < 64<<20; {
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		n, err := io.WriteString(c, wrong)
		if sent += n; err != nil {
			break
		}
	}
	assert.Less(t, sent, 32<<20, "more than the buffers of the kernel and the program was read")
	if os.Getenv("TERNSTAGE_RACE") == "" { // the race detector's memory is not the program's
		assert.Less(t, peakMemoryMB(t, p), 40, "MB")
	}
	p.waitForLog(fmt.Sprintf(`"code":"C06","peer":"%s"`, c.LocalAddr()))
}

// TestClientThatReadsLate has a client send many requests at once and read late. It must get every answer. Guards
// against requests that were read ahead and then forgotten while answers waited to be written.
func TestClientThatReadsLate(t *testing.T) {
	_, p := startWithBackends(t, nil, options{})
	c, at := dial(t, p), time.Now()
	const asked = 40_000
	go func() { _, _ = io.WriteString(c, strings.Repeat("GET /quote HTTP/1.1\r\n\r\n", asked)) }()
	require.Eventually(t, func() bool { return time.Since(at) > 300*time.Millisecond }, waitTimeout, 10*time.Millisecond)
	r := bufio.NewReader(c)
	for i := range asked {
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err, i)
		require.Equal(t, 405, a.StatusCode, i)
		_, _ = io.Copy(io.Discard, a.Body)
	}
}

// TestAmbiguousRequestsAreRejected sends requests that two parsers could understand differently. Each must be
// answered 400.
func TestAmbiguousRequestsAreRejected(t *testing.T) {
	backends, p := startWithBackends(t, nil, options{})
	part := `{"shard":1,"weight":1,"cost":9000}`
	for name, body := range map[string]string{
		"repeated name":           `{"shards":[` + part + `],"q":"a","q":"b"}`,
		"name in capitals":        `{"Shards":[` + part + `],"q":"a"}`,
		"repeated name in a part": `{"shards":[{"shard":1,"shard":2,"weight":1}],"q":"a"}`,
		"invalid UTF-8":           `{"shards":[` + part + `],"q":"` + "\xff" + `"}`,
		"unpaired surrogate":      `{"shards":[` + part + `],"q":"\ud800"}`,
		"deep array":              strings.Repeat(`[`, 60<<10),
		"deep object":             strings.Repeat(`{"a":`, 12<<10),
		"shard out of range":      `{"shards":[{"shard":99999999999999999999,"weight":1}],"q":"a"}`,
		"fractional shard":        `{"shards":[{"shard":1.5,"weight":1}],"q":"a"}`,
		"weight out of range":     `{"shards":[{"shard":1,"weight":1e999}],"q":"a"}`,
		"negative weight":         `{"shards":[{"shard":1,"weight":-1},{"shard":2,"weight":2}],"q":"a"}`,
		"weight of 0":             `{"shards":[{"shard":1,"weight":0},{"shard":2,"weight":1}],"q":"a"}`,
		"negative cost":           `{"shards":[{"shard":1,"weight":1,"cost":-5}],"q":"a"}`,
		"trailing value":          `{"shards":[` + part + `],"q":"a"} {}`,
		"null":                    `null`,
	} {
		assert.Equal(t, []int{400}, answerStatuses(t, p, requestText("f", body)), name)
	}
	for name, text := range map[string]string{
		"repeated id":          strings.Replace(requestText("f", validBody), "X-Class", "X-Request-Id: g\r\nX-Class", 1),
		"hexadecimal deadline": strings.Replace(requestText("f", validBody), "0.9", "0x1p-1", 1),
		"infinite deadline":    strings.Replace(requestText("f", validBody), "0.9", "inf", 1),
		"malformed field name": strings.Replace(requestText("f", validBody), "X-Class",
			"Transfer-Encoding\x0b: chunked\r\nX-Class", 1),
	} {
		assert.Equal(t, []int{400}, answerStatuses(t, p, text), name)
	}
	assert.Empty(t, backends.attempts())
	huge := `{"shards":[{"shard":1,"weight":1,"cost":1e300}],"q":"a","more":{"q":[{"q":1}]}}`
	assert.Equal(t, []int{200}, answerStatuses(t, p, requestText("ok", huge)), "a cost beyond all bounds is ignored")
	requireOutcome(t, p, "after", "quote", "served")
}

// answerStatuses sends bytes and returns the statuses of the answers up to the close. It appends a request that asks
// for the close, whose answer is known by its text, so that an answer to a request that should not be served is seen.
func answerStatuses(t *testing.T, p *program, text string) (got []int) {
	conn := dial(t, p)
	_, err := io.WriteString(conn, text+"DELETE /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	for r := bufio.NewReader(net.Conn(conn)); ; {
		a, err := http.ReadResponse(r, nil)
		if err != nil {
			return got
		}
		if body, _ := io.ReadAll(a.Body); !strings.Contains(string(body), "GET only") {
			got = append(got, a.StatusCode)
		}
	}
}

// TestServesAfterSIGTERM sends requests after SIGTERM, on an open connection and on new ones. They must be served for
// as long as they can be answered before the platform kills the process. Guards clients whose next broker is not up
// yet.
func TestServesAfterSIGTERM(t *testing.T) {
	s := settings()
	for _, c := range s["categories"].([]any) {
		c.(map[string]any)["deadline_ms"] = 2500
	}
	_, p := startWithBackends(t, nil, options{settings: s})
	conn := dial(t, p)
	r := bufio.NewReader(conn)
	send := func(id string) {
		_, err := io.WriteString(conn, requestText(id, validBody))
		require.NoError(t, err)
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err, id)
		_, _ = io.Copy(io.Discard, a.Body)
		require.Equal(t, 200, a.StatusCode)
		require.False(t, a.Close)
	}
	send("before")
	at := time.Now()
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return p.healthStatus() == 503 }, waitTimeout, time.Millisecond)
	for i := 0; time.Since(at) < 1500*time.Millisecond; i++ {
		send(fmt.Sprint("after", i))
	}
	_, _ = io.Copy(io.Discard, r) // until the close
	require.NoError(t, <-p.exited)
	assert.Less(t, time.Since(at), 3200*time.Millisecond, "the platform kills the process then")
}
