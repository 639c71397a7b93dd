// Package test starts the real program as a process and speaks to it as clients, nodes and discovery would.
package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/loopback"
	"ternstage/internal/lab/product"
)

const patience = 15 * time.Second // for a condition; never waited out when all is well

var (
	built    string // path of the program under test
	buildDir string // where programs are built; removed at the end
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ternstage")
	if err != nil {
		panic(err)
	}
	buildDir = dir
	if built, err = product.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// settings are those of a small site: 4 cells in a ring, 8 shards on 3 nodes each.
func settings() map[string]any {
	class := func(name, effect string, worth float64, late float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aim_ms": 700, "deadline_ms": 1000, "worth": worth,
			"late_worth": late, "dedup_window_ms": 5000}
	}
	return map[string]any{
		"areas": []string{"salt-lake"}, "balancers": 1, "me": 0, "zone": 0, "resolution_ms": 5,
		"callers":   map[string]any{"marks_retry": false},
		"discovery": "on_request", "over_share_worth": 0.05,
		"categories": []any{class("quote", "read_like", 1, 0.3), class("bind", "non_idempotent", 2, 0.1),
			class("compare", "read_like", 3, 0.3)},
		"customers": []any{map[string]any{"name": "gangasagar-life", "allowance_per_s": 1000}},
		"domain": map[string]any{"per_call": 1, "sets": 4, "slices": 8, "width": 3,
			"complete_from": []int{1, 1, 1}, "fetch_parts": []int{0, 0, 0},
			"incomplete_worth": []float64{0.9, 0.9, 0.9}, "min_share": []float64{1, 1, 0.7}},
		"invariants": map[string]any{"ask_within_ms": 10000, "cold_from": 0.21, "drain_grace_ms": 1000,
			"fall_ms": 1500, "fall_multiple": 2.5, "grace_to_answer_ms": 20, "warm_within_ms": 18000},
		"limits": map[string]any{"cancel": true, "dial_timeout_ms": 250, "keepalive_ms": 30000, "max_open": 368,
			"max_retry_after_ms": 1000, "multiplex": 32, "parallel_tries": false, "retry_after": true,
			"try_limit": 4},
	}
}

type member struct {
	ID        string `json:"id"`
	Address   string `json:"host_port"`
	Locality  string `json:"locality"`
	Flavor    string `json:"flavor"`
	Cell      int    `json:"cell"`
	Phase     string `json:"phase"`
	Size      int    `json:"size"`
	UpSinceMS int64  `json:"up_since_ms"`
}

type list struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is a stand-in of the list service.
type discovery struct {
	*http.Server
	addr  string
	mu    sync.Mutex
	list  list
	next  chan struct{} // closed at the next change
	told  time.Time     // when the latest revision was first written
	calls []time.Time
	ends  []time.Time // of answers
	down  bool
	agent bool     // lists are pushed to it: it answers at once with what it has
	mute  bool     // it is silent
	raw   [][]byte // answers as sent

	targets []string // of calls
}

func newDiscovery(t *testing.T, members []member) *discovery {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	d := &discovery{addr: ln.Addr().String(), list: list{41, true, members}, next: make(chan struct{})}
	d.Server = &http.Server{Handler: d}
	go func() { _ = d.Serve(ln) }()
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls, d.targets = append(d.calls, time.Now()), append(d.targets, r.URL.RequestURI())
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	by := time.After(time.Duration(wait) * time.Millisecond)
	if d.mute {
		d.mu.Unlock()
		<-r.Context().Done()
		d.mu.Lock()
		return
	}
	for waiting := !d.agent; waiting && index >= d.list.Revision && !d.down; {
		next := d.next
		d.mu.Unlock()
		select {
		case <-next:
		case <-by:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		d.mu.Lock()
	}
	if d.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	text, _ := json.Marshal(d.list)
	if d.agent && r.URL.Query().Has("index") && index == d.list.Revision {
		text = fmt.Appendf(nil, `{"revision":%d,"complete":false,"members":[]}`, index)
	}
	d.raw, d.told = append(d.raw, text), time.Now()
	_, _ = w.Write(text)
	d.ends = append(d.ends, time.Now())
}

// change alters the list and wakes those who watch.
func (d *discovery) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	d.list.Revision++
	close(d.next)
	d.next = make(chan struct{})
}

func (d *discovery) toldSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told.After(at)
}

// program is the process under test.
type program struct {
	*exec.Cmd
	t          *testing.T
	addr, grpc string
	mgmt       string // the operators' door, "" for none
	config     string // its file
	discovery  *discovery
	mu         sync.Mutex
	log        bytes.Buffer
	done       chan error
}

// Write collects the log.
func (p *program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.Write(b)
}

func (p *program) logged() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

type options struct {
	settings map[string]any
	members  []member
	flight   bool
	sockets  int
	memory   int
	mgmt     bool     // with the operators' door
	tmp      string   // its $TMPDIR, where held leafs are kept; a new one if ""
	inherit  *os.File // a listener for clients, given as descriptor 5
	listen   string   // its address
	drained  bool     // its clients are sent away: it is ready once it says so to the operators
	program  string   // the binary to start; "" for the one that TestMain built

	discovery *discovery // the endpoint list that several brokers share; a new one if nil
	name      string     // of the broker; "n0" if ""
}

func freeAddress(t *testing.T) string {
	a, err := loopback.Free()
	require.NoError(t, err)
	return a
}

// launch starts the program without waiting for it to serve.
func launch(t *testing.T, config []byte, env ...string) *program {
	return launchWith(t, config, nil, env...)
}

// launchWith starts the program with a listener as descriptor 5, where one is given.
func launchWith(t *testing.T, config []byte, inherit *os.File, env ...string) *program {
	return launchOf(t, built, config, inherit, env...)
}

// launchOf is launchWith of any binary.
func launchOf(t *testing.T, binary string, config []byte, inherit *os.File, env ...string) *program {
	return launchBy(t, config, func(c *exec.Cmd) {
		c.Path, c.Args = binary, []string{binary}
		c.Env = append(c.Env, env...)
		if inherit == nil {
			return
		}
		null, err := os.Open(os.DevNull)
		require.NoError(t, err)
		t.Cleanup(func() { _ = null.Close() })
		c.ExtraFiles = []*os.File{null, null, inherit} // descriptors 3, 4 and 5
		c.Env = append(c.Env, "BALANCER_INHERITED_FD=5")
	})
}

// launchBy starts the program by a command that the test has had its say on.
func launchBy(t *testing.T, config []byte, say func(*exec.Cmd)) *program {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, config, 0o600))
	p := &program{Cmd: exec.Command(built), t: t, config: path, done: make(chan error, 1)}
	// The race detector would sleep for a second at the end.
	p.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", "BALANCER_CONFIG="+path)
	say(p.Cmd)
	p.Stderr = p
	require.NoError(t, p.Start())
	go func() { p.done <- p.Wait() }()
	t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

// start starts the program and waits until it serves.
func start(t *testing.T, o options) *program {
	if o.settings == nil {
		o.settings = settings()
	}
	d := o.discovery
	if d == nil {
		d = newDiscovery(t, o.members)
	}
	if o.name == "" {
		o.name = "n0"
	}
	d.agent = o.settings["discovery"] == "pushed"
	addr, grpc := freeAddress(t), freeAddress(t)
	if o.listen != "" {
		addr = o.listen
	}
	limits := map[string]any{"cores": 1, "memory_mb": max(o.memory, 192), "sockets": 1024}
	if o.sockets > 0 {
		limits["sockets"] = o.sockets
	}
	text, err := json.Marshal(map[string]any{"name": o.name, "listen": addr, "discovery": d.addr,
		"seed": "8c1f30d27a5be964", "limits": limits, "known": d.list, "settings": o.settings})
	require.NoError(t, err)
	file := filepath.Join(t.TempDir(), "flight.toml")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "enabled = %v\nnodes = %v\nlisten = %q\n",
		o.flight, o.flight, grpc), 0o600))
	env := []string{"TERNSTAGE_FLIGHT=" + file}
	mgmt := ""
	if o.mgmt {
		if o.tmp == "" {
			o.tmp = t.TempDir()
		}
		mgmt = freeAddress(t)
		env = append(env, "BALANCER_MGMT="+mgmt, "TMPDIR="+o.tmp)
	}
	if o.program == "" {
		o.program = built
	}
	p := launchOf(t, o.program, text, o.inherit, env...)
	p.addr, p.grpc, p.discovery, p.mgmt = addr, grpc, d, mgmt
	up := func() bool { return o.drained || p.health() == 200 }
	if !assert.Eventually(t, func() bool { return up() && (!o.mgmt || call(p, "GET", "/v1/readyz") == 200) }, patience,
		5*time.Millisecond) {
		require.FailNow(t, "the program does not serve", p.logged())
	}
	return p
}

func (p *program) health() int {
	r, err := http.Get("http://" + p.addr + "/_health")
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// stop ends the program as a planned restart does, and sees that it ends well.
func (p *program) stop() {
	require.NoError(p.t, p.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.done:
		require.NoError(p.t, err, p.logged())
	case <-time.After(patience):
		require.Fail(p.t, "the program does not end", p.logged())
	}
	require.NotContains(p.t, p.logged(), "DATA RACE")
}

func (p *program) waitLog(text string) {
	require.Eventually(p.t, func() bool { return strings.Contains(p.logged(), text) }, patience,
		5*time.Millisecond, "no %q in the log", text)
}
