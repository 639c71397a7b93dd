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

// TestUnfinished: whoever says nothing or only half is answered or closed within 3 s, and whoever sends without end
// as soon as that shows, while others are served. Guards descriptors, memory and the loop.
func TestUnfinished(t *testing.T) {
	_, p := site(t, nil, options{sockets: 256})
	big := head("big", "Content-Length: 60000000\r\n")
	for _, c := range []struct {
		name, bytes, more string // more is sent without end
		pause             time.Duration
		status            int // 0: closed without a word
		code              string
	}{
		{"silent", "", "", 0, 0, "C07"},
		{"half a head", "POST /quote HTTP/1.1\r\nHost", "", 0, 408, "C06"},
		{"half a body", sized("half", good)[:200], "", 0, 408, "C06"},
		{"byte by byte", "POST /quote HTTP/1.1\r\nHost: ", "x", 20 * time.Millisecond, 408, "C06"},
		{"head without end", "POST /quote HTTP/1.1\r\n", "A: b\r\n", 0, 431, "C04"},
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
			<-sender                      // it ends by itself: the connection has
			peer := fmt.Sprintf(`"code":"%s","peer":"%s"`, c.code, conn.LocalAddr())
			p.waitLog(peer)
		})
	}
	for range 20 {
		asked(t, p, fmt.Sprint(time.Now().UnixNano()), "quote", "served")
	}
}

// TestUnread: a client that asks on and reads nothing is asked for no more than a bound holds. Guards memory.
func TestUnread(t *testing.T) {
	_, p := site(t, nil, options{})
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
	assert.Less(t, sent, 32<<20, "the kernel's buffers and ours, and no more")
	if os.Getenv("TERNSTAGE_RACE") == "" { // the detector's own memory is not the program's
		assert.Less(t, peak(t, p), 40, "MB")
	}
	p.waitLog(fmt.Sprintf(`"code":"C06","peer":"%s"`, c.LocalAddr()))
}

// TestReadLate: a client that asks a lot at once and reads late gets every answer. Guards what was read ahead against
// being forgotten while answers waited.
func TestReadLate(t *testing.T) {
	_, p := site(t, nil, options{})
	c, at := dial(t, p), time.Now()
	const asked = 40_000
	go func() { _, _ = io.WriteString(c, strings.Repeat("GET /quote HTTP/1.1\r\n\r\n", asked)) }()
	require.Eventually(t, func() bool { return time.Since(at) > 300*time.Millisecond }, patience, 10*time.Millisecond)
	r := bufio.NewReader(c)
	for i := range asked {
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err, i)
		require.Equal(t, 405, a.StatusCode, i)
		_, _ = io.Copy(io.Discard, a.Body)
	}
}

// TestForms: a query that readers could understand otherwise than its client meant is turned away.
func TestForms(t *testing.T) {
	ns, p := site(t, nil, options{})
	part := `{"shard":1,"weight":1,"cost":9000}`
	for name, body := range map[string]string{
		"name twice":         `{"shards":[` + part + `],"q":"a","q":"b"}`,
		"name in capitals":   `{"Shards":[` + part + `],"q":"a"}`,
		"twice in a part":    `{"shards":[{"shard":1,"shard":2,"weight":1}],"q":"a"}`,
		"no UTF-8":           `{"shards":[` + part + `],"q":"` + "\xff" + `"}`,
		"half a surrogate":   `{"shards":[` + part + `],"q":"\ud800"}`,
		"depth":              strings.Repeat(`[`, 60<<10),
		"deep object":        strings.Repeat(`{"a":`, 12<<10),
		"shard out of range": `{"shards":[{"shard":99999999999999999999,"weight":1}],"q":"a"}`,
		"shard in part":      `{"shards":[{"shard":1.5,"weight":1}],"q":"a"}`,
		"weight out of all":  `{"shards":[{"shard":1,"weight":1e999}],"q":"a"}`,
		"weight below 0":     `{"shards":[{"shard":1,"weight":-1},{"shard":2,"weight":2}],"q":"a"}`,
		"weight of 0":        `{"shards":[{"shard":1,"weight":0},{"shard":2,"weight":1}],"q":"a"}`,
		"cost below 0":       `{"shards":[{"shard":1,"weight":1,"cost":-5}],"q":"a"}`,
		"more behind":        `{"shards":[` + part + `],"q":"a"} {}`,
		"null":               `null`,
	} {
		assert.Equal(t, []int{400}, statuses(t, p, sized("f", body)), name)
	}
	for name, text := range map[string]string{
		"id twice":            strings.Replace(sized("f", good), "X-Class", "X-Request-Id: g\r\nX-Class", 1),
		"hexadecimal time":    strings.Replace(sized("f", good), "0.9", "0x1p-1", 1),
		"time without bound":  strings.Replace(sized("f", good), "0.9", "inf", 1),
		"odd name of a field": strings.Replace(sized("f", good), "X-Class", "Transfer-Encoding\x0b: chunked\r\nX-Class", 1),
	} {
		assert.Equal(t, []int{400}, statuses(t, p, text), name)
	}
	assert.Empty(t, ns.all())
	huge := `{"shards":[{"shard":1,"weight":1,"cost":1e300}],"q":"a","more":{"q":[{"q":1}]}}`
	assert.Equal(t, []int{200}, statuses(t, p, sized("ok", huge)), "a hint that is out of all bounds is none")
	asked(t, p, "after", "quote", "served")
}

// statuses are those of the answers to some bytes, up to the close. A last request that asks for the close, and whose
// answer is told by its words, stands behind them: whatever is wrongly served before it is seen.
func statuses(t *testing.T, p *program, text string) (got []int) {
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

// TestServesOn: after SIGTERM clients are served on the connections they have, and on new ones, for as long as what is
// taken can be answered before the platform kills. Guards those whose next broker is not up yet.
func TestServesOn(t *testing.T) {
	s := settings()
	for _, c := range s["categories"].([]any) {
		c.(map[string]any)["deadline_ms"] = 2500
	}
	_, p := site(t, nil, options{settings: s})
	conn := dial(t, p)
	r := bufio.NewReader(conn)
	ask := func(id string) {
		_, err := io.WriteString(conn, sized(id, good))
		require.NoError(t, err)
		a, err := http.ReadResponse(r, nil)
		require.NoError(t, err, id)
		_, _ = io.Copy(io.Discard, a.Body)
		require.Equal(t, 200, a.StatusCode)
		require.False(t, a.Close)
	}
	ask("before")
	at := time.Now()
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return p.health() == 503 }, patience, time.Millisecond)
	for i := 0; time.Since(at) < 1500*time.Millisecond; i++ {
		ask(fmt.Sprint("after", i))
	}
	_, _ = io.Copy(io.Discard, r) // until the close
	require.NoError(t, <-p.done)
	assert.Less(t, time.Since(at), 3200*time.Millisecond, "the platform kills then")
}
