package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// released is the commit whose program is taken for the one that is in service.
const released = "aa8ad37"

// buildReleased builds the program of that commit from the history of this clone, as product.Build builds this one.
func buildReleased(t *testing.T) string {
	t.Helper()
	root, err := filepath.Abs("..")
	require.NoError(t, err)
	if out, err := exec.Command("git", "-C", root, "cat-file", "-e", released+"^{commit}").CombinedOutput(); err != nil {
		t.Skipf("commit %s is not in this clone, so its program cannot be built: %v %s", released, err, out)
	}
	dir := t.TempDir()
	text, err := exec.Command("git", "-C", root, "archive", released).Output()
	require.NoError(t, err)
	untar := exec.Command("tar", "-x", "-C", dir)
	untar.Stdin = bytes.NewReader(text)
	out, err := untar.CombinedOutput()
	require.NoError(t, err, "%s", out)
	path := filepath.Join(t.TempDir(), "ternstage-"+released)
	args := []string{"build", "-trimpath", "-ldflags=-linkmode=external", "-o", path}
	if os.Getenv("TERNSTAGE_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "./cmd/ternstage")...)
	build.Dir, build.Env = dir, append(os.Environ(), "CGO_ENABLED=1")
	out, err = build.CombinedOutput()
	require.NoError(t, err, "%s", out)
	return path
}

// A says is a line of the log that this test looks for: what the released program writes, to the letter, and the
// wordings of this build that mean the same.
type says struct {
	released string
	now      []string
}

var (
	suspendedRead = says{"held leafs read", []string{"suspensions read"}}
	handedOver    = says{"cold sends handed over", []string{"slow-start sends handed over"}}
	takenOver     = says{"cold sends taken over", []string{"slow-start sends taken over"}}
)

// line is the first line that a program logged of what s says; nil if there is none.
func (s says) line(p *program) map[string]any {
	wordings := s.now
	if p.Path != built {
		wordings = []string{s.released}
	}
	for text := range strings.Lines(p.logged()) {
		var fields map[string]any
		if json.Unmarshal([]byte(text), &fields) != nil {
			continue
		}
		if msg, _ := fields["msg"].(string); slices.Contains(wordings, msg) {
			return fields
		}
	}
	return nil
}

// wait is line once there is one.
func (s says) wait(t *testing.T, p *program) map[string]any {
	t.Helper()
	var fields map[string]any
	require.Eventually(t, func() bool { fields = s.line(p); return fields != nil }, patience, 5*time.Millisecond,
		"none of %q, %q in the log", s.released, s.now)
	return fields
}

// waitSome is wait for a line that tells of one send to cold nodes at least.
func (s says) waitSome(t *testing.T, p *program) {
	t.Helper()
	fields := s.wait(t, p)
	sent, ok := fields["sent"].(float64)
	require.True(t, ok, "no number of sends: %v", fields)
	assert.Positive(t, sent, "%v", fields)
}

// traffic is clients of the address that processes share.
type traffic struct {
	served, unheard, other atomic.Int64
	stop                   chan struct{}
	clients                sync.WaitGroup
	mu                     sync.Mutex
	faults                 []string // the first
}

// drive has eight clients ask until end; half of them keep their connections.
func drive(t *testing.T, addr string) *traffic {
	f := &traffic{stop: make(chan struct{})}
	for c := range 8 {
		f.clients.Go(func() {
			tr := &http.Transport{DisableKeepAlives: c%2 == 0}
			defer tr.CloseIdleConnections()
			for i := 0; ; i++ {
				select {
				case <-f.stop:
					return
				case <-time.After(2 * time.Millisecond):
				}
				f.ask(tr, addr, query{id: fmt.Sprintf("v%d-%d", c, i), class: "quote", tenant: "gangasagar-life",
					shards: []int{i % 8}, wait: time.Second})
			}
		})
	}
	t.Cleanup(f.end)
	return f
}

func (f *traffic) ask(tr *http.Transport, addr string, q query) {
	ctx, cancel := context.WithTimeout(context.Background(), patience) // a call that nobody accepts is unheard too
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, "POST", "http://"+addr+"/"+q.class, strings.NewReader(q.text()))
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Class", q.class)
	r.Header.Set("X-Tenant", q.tenant)
	r.Header.Set("X-Deadline", "1.000")
	a, err := tr.RoundTrip(r)
	if err != nil {
		f.unheard.Add(1)
		f.fault(q, err.Error())
		return
	}
	defer a.Body.Close()
	if text, err := io.ReadAll(a.Body); err != nil || a.StatusCode != 200 || !bytes.Contains(text, []byte(doc(q.id))) {
		f.other.Add(1)
		f.fault(q, fmt.Sprint(a.StatusCode, " ", err, " ", string(text)))
		return
	}
	f.served.Add(1)
}

func (f *traffic) fault(q query, what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.faults) < 10 {
		f.faults = append(f.faults, time.Now().Format("05.000 ")+q.id+" "+what)
	}
}

func (f *traffic) end() {
	select {
	case <-f.stop:
	default:
		close(f.stop)
	}
	f.clients.Wait()
}

// more waits until so many further queries are served.
func (f *traffic) more(t *testing.T, n int64) {
	t.Helper()
	from := f.served.Load()
	require.Eventually(t, func() bool { return f.served.Load() >= from+n }, patience, 5*time.Millisecond)
}

// healths sees that health is so at every process that accepts on the shared address.
func healths(t *testing.T, p *program, want int) {
	t.Helper()
	require.Eventually(t, func() bool { return p.health() == want }, patience, 5*time.Millisecond)
	time.Sleep(60 * time.Millisecond) // of which the other process needs 20 to look
	for range 20 {
		require.Equal(t, want, p.health())
	}
}

// grace is drain_grace_ms of the settings. A suspended node counts as draining: the process that is told may send to it
// for as long, where the others are worse. One that starts later may not at all.
const grace = time.Second

// takeOver has another process take over from one that serves under load. A node is suspended at the one that serves and
// its clients are sent away; the next one starts beside it, reads both, and takes over what was sent to the cold node.
func takeOver(t *testing.T, ns *nodes, f *traffic, from *program, o options, id, cold string) *program {
	t.Helper()
	drain, record := o.tmp+"/ternstage-held-leafs.json.drain", o.tmp+"/ternstage-cold-sent.json"
	f.more(t, 200)
	require.Equal(t, 200, call(from, "PUT", "/v1/leafs/"+id+"/suspend"))
	time.Sleep(grace)
	over := time.Now()
	f.more(t, 200)
	require.Equal(t, 200, call(from, "PUT", "/v1/aggregator/drain"))
	require.FileExists(t, drain)
	healths(t, from, 503)

	// The next one reads what that one wrote, and that one sees what the next one is told.
	o.drained = true
	next := start(t, o)
	healths(t, next, 503)
	assert.Contains(t, fmt.Sprint(suspendedRead.wait(t, next)), "["+id+"]", "and no other")
	require.Equal(t, 200, call(next, "PUT", "/v1/aggregator/activate"))
	require.NoFileExists(t, drain)
	healths(t, next, 200)
	f.more(t, 200)

	// It takes over while a drain holds that the other was told of.
	require.Equal(t, 200, call(from, "PUT", "/v1/aggregator/drain"))
	healths(t, next, 503)
	require.Equal(t, 200, call(next, "GET", "/v1/readyz"))
	from.stop()
	gone := time.Now()
	healths(t, next, 503) // nobody else is there to say it
	require.Equal(t, 200, call(next, "PUT", "/v1/aggregator/activate"))
	healths(t, next, 200)

	handedOver.waitSome(t, from)
	text, err := os.ReadFile(record)
	require.NoError(t, err)
	assert.Contains(t, string(text), `{"form":"ternstage cold sent","version":1,"written_unix_ms":`)
	takenOver.waitSome(t, next)
	require.Eventually(t, func() bool { return sentTo(ns, cold, gone) > 0 }, patience, 5*time.Millisecond,
		"the cold node is used by the next process")
	f.more(t, 400)
	assert.Zero(t, sentTo(ns, id, over), "%s got something though it is suspended", id)
	for _, p := range []*program{from, next} { // of files that are there and cannot be used
		assert.NotRegexp(t, `not read|cannot be read|torn|this build reads|number of (peers|brokers)|not (kept|saved)|`+
			`panic|DATA RACE`, p.logged())
	}
	return next
}

// TestUpgradeFromReleasedVersionUnderLoadAndBack: under load, this build takes over from the released one on the listener
// that both inherit, and the released one takes over from this one again. Each reads what the other wrote: the suspended
// node gets nothing from the next process from its first query on, the drain holds there until it is told to activate, and
// what was sent to a cold node counts there. All queries are served. Guards the forms of all that two builds share.
func TestUpgradeFromReleasedVersionUnderLoadAndBack(t *testing.T) {
	old := buildReleased(t)
	ns, o := pair(t)
	o.settings = settings()
	o.settings["invariants"].(map[string]any)["warm_within_ms"] = 120_000 // s-0 is cold to the end
	ns.members[0].UpSinceMS = time.Now().UnixMilli()
	released, current := o, o
	released.program = old

	first := start(t, released)
	f := drive(t, first.addr)
	second := takeOver(t, ns, f, first, current, "s-2", "s-0")

	// What the released program reads is of this build's own writing.
	require.Equal(t, 200, call(second, "PUT", "/v1/leafs/s-2/resume"))
	back := time.Now()
	require.Eventually(t, func() bool { return sentTo(ns, "s-2", back) > 0 }, patience, 5*time.Millisecond)
	third := takeOver(t, ns, f, second, released, "s-3", "s-0")
	require.Equal(t, 200, call(third, "PUT", "/v1/leafs/s-3/resume"))
	back = time.Now()
	require.Eventually(t, func() bool { return sentTo(ns, "s-3", back) > 0 }, patience, 5*time.Millisecond)

	f.end()
	assert.Zero(t, f.unheard.Load(), "requests turned back unheard: %q", f.faults)
	assert.Zero(t, f.other.Load(), "requests not served: %q", f.faults)
	t.Log(f.served.Load(), "queries were served")
	third.stop()
}
