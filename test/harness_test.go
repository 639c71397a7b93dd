// Package test starts the program as a process. The tests play its clients, its backends and discovery.
package test

import (
	"bytes"
	"cmp"
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

const waitTimeout = 15 * time.Second // bounds the wait for a condition that a working program fulfils much sooner

var (
	programPath string // path of the program under test
	buildDir    string // where programs are built; removed at the end
)

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ternstage")
	if err != nil {
		panic(err)
	}
	buildDir = dir
	if programPath, err = product.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// settings returns the settings of a small site: 8 shards with 3 replicas each, on 4 cells in a ring.
func settings() map[string]any {
	class := func(name, effect string, weight float64, lateWeight float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aim_ms": 700, "deadline_ms": 1000, "worth": weight,
			"late_worth": lateWeight, "dedup_window_ms": 5000}
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

// endpoint is an entry of the endpoint list, as discovery serves it.
type endpoint struct {
	ID        string `json:"id"`
	Address   string `json:"host_port"`
	Locality  string `json:"locality"`
	Flavor    string `json:"flavor"`
	Cell      int    `json:"cell"`
	Phase     string `json:"phase"`
	Size      int    `json:"size"`
	UpSinceMS int64  `json:"up_since_ms"`
}

// endpointList is the endpoint list, as discovery serves it.
type endpointList struct {
	Revision  int        `json:"revision"`
	Complete  bool       `json:"complete"`
	Endpoints []endpoint `json:"members"`
}

// discoveryServer simulates the service that serves the endpoint list.
type discoveryServer struct {
	*http.Server
	addr         string
	mu           sync.Mutex
	list         endpointList
	changed      chan struct{} // closed at the next change of the list
	answeredAt   time.Time     // when the endpoint list was last written
	callTimes    []time.Time
	answerTimes  []time.Time // when each answer was complete
	unavailable  bool
	isAgent      bool     // it plays the agent to which lists are pushed: it answers at once with what it has
	unresponsive bool     // it accepts calls and never answers
	answers      [][]byte // bodies of the answers

	targets []string // request URIs of the calls
}

func newDiscovery(t *testing.T, members []endpoint) *discoveryServer {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	d := &discoveryServer{addr: ln.Addr().String(), list: endpointList{41, true, members}, changed: make(chan struct{})}
	d.Server = &http.Server{Handler: d}
	go func() { _ = d.Serve(ln) }()
	t.Cleanup(func() { _ = d.Close() })
	return d
}

func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callTimes, d.targets = append(d.callTimes, time.Now()), append(d.targets, r.URL.RequestURI())
	index, _ := strconv.Atoi(r.URL.Query().Get("index"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	by := time.After(time.Duration(wait) * time.Millisecond)
	if d.unresponsive {
		d.mu.Unlock()
		<-r.Context().Done()
		d.mu.Lock()
		return
	}
	for waiting := !d.isAgent; waiting && index >= d.list.Revision && !d.unavailable; {
		next := d.changed
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
	if d.unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	text, _ := json.Marshal(d.list)
	if d.isAgent && r.URL.Query().Has("index") && index == d.list.Revision {
		text = fmt.Appendf(nil, `{"revision":%d,"complete":false,"members":[]}`, index)
	}
	d.answers, d.answeredAt = append(d.answers, text), time.Now()
	_, _ = w.Write(text)
	d.answerTimes = append(d.answerTimes, time.Now())
}

// change applies f to the list, increments its revision and answers the waiting watches.
func (d *discoveryServer) change(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
	d.list.Revision++
	close(d.changed)
	d.changed = make(chan struct{})
}

// answeredSince reports whether the list was written to a caller after a time.
func (d *discoveryServer) answeredSince(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answeredAt.After(at)
}

// program is the process under test.
type program struct {
	*exec.Cmd
	t                    *testing.T
	httpAddr, flightAddr string
	adminAddr            string // address of the admin API, "" for none
	configPath           string // path of its configuration file
	discovery            *discoveryServer
	mu                   sync.Mutex
	log                  bytes.Buffer
	exited               chan error
}

// Write appends to the log; it receives the process's standard error.
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

// options configure a program that a test starts. A zero value is the default.
type options struct {
	settings       map[string]any
	endpoints      []endpoint
	flight         bool
	maxDescriptors int
	memoryMB       int      // 192 if 0
	adminAPI       bool     // with the admin API
	stateDir       string   // its $TMPDIR, which holds the state files; a new directory if ""
	listener       *os.File // the clients' listener, inherited as descriptor 5
	listenAddr     string   // address of the listener
	flightAddr     string   // address of the Flight front; a free one if ""
	startsDrained  bool     // it starts draining: it is ready once the admin API reports so, while its health is 503
	binary         string   // the binary to start; "" for the one that TestMain built

	discovery *discoveryServer // the endpoint list that several brokers share; a new one if nil
	name      string           // name of the broker; "n0" if ""
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	a, err := loopback.Free()
	require.NoError(t, err)
	return a
}

// launch starts the program without waiting until it serves.
func launch(t *testing.T, config []byte, env ...string) *program {
	return launchWithListener(t, config, nil, env...)
}

// launchWithListener starts the program like launch, with a listener as descriptor 5 unless it is nil.
func launchWithListener(t *testing.T, config []byte, listener *os.File, env ...string) *program {
	return launchBinary(t, programPath, config, listener, env...)
}

// launchBinary starts a binary like launchWithListener.
func launchBinary(t *testing.T, binary string, config []byte, listener *os.File, env ...string) *program {
	return launchCommand(t, config, func(c *exec.Cmd) {
		c.Path, c.Args = binary, []string{binary}
		c.Env = append(c.Env, env...)
		if listener == nil {
			return
		}
		null, err := os.Open(os.DevNull)
		require.NoError(t, err)
		t.Cleanup(func() { _ = null.Close() })
		c.ExtraFiles = []*os.File{null, null, listener} // descriptors 3, 4 and 5
		c.Env = append(c.Env, "BALANCER_INHERITED_FD=5")
	})
}

// launchCommand starts the program by a command that configure may change.
func launchCommand(t *testing.T, config []byte, configure func(*exec.Cmd)) *program {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, config, 0o600))
	p := &program{Cmd: exec.Command(programPath), t: t, configPath: path, exited: make(chan error, 1)}
	// The race detector would otherwise sleep for a second at the exit.
	p.Env = append(os.Environ(), "GORACE=atexit_sleep_ms=0", "BALANCER_CONFIG="+path)
	configure(p.Cmd)
	p.Stderr = p
	require.NoError(t, p.Start())
	go func() { p.exited <- p.Wait() }()
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
		d = newDiscovery(t, o.endpoints)
	}
	if o.name == "" {
		o.name = "n0"
	}
	d.isAgent = o.settings["discovery"] == "pushed"
	httpAddr, flightAddr := freeAddress(t), freeAddress(t)
	if o.listenAddr != "" {
		httpAddr = o.listenAddr
	}
	if o.flightAddr != "" {
		flightAddr = o.flightAddr
	}
	limits := map[string]any{"cores": 1, "memory_mb": cmp.Or(o.memoryMB, 192), "sockets": 1024}
	if o.maxDescriptors > 0 {
		limits["sockets"] = o.maxDescriptors
	}
	config, err := json.Marshal(map[string]any{"name": o.name, "listen": httpAddr, "discovery": d.addr,
		"seed": "8c1f30d27a5be964", "limits": limits, "known": d.list, "settings": o.settings})
	require.NoError(t, err)
	flightFile := filepath.Join(t.TempDir(), "flight.toml")
	require.NoError(t, os.WriteFile(flightFile, fmt.Appendf(nil, "enabled = %v\nnodes = %v\nlisten = %q\n",
		o.flight, o.flight, flightAddr), 0o600))
	env := []string{"TERNSTAGE_FLIGHT=" + flightFile}
	adminAddr := ""
	if o.adminAPI {
		if o.stateDir == "" {
			o.stateDir = t.TempDir()
		}
		adminAddr = freeAddress(t)
		env = append(env, "BALANCER_MGMT="+adminAddr, "TMPDIR="+o.stateDir)
	}
	if o.binary == "" {
		o.binary = programPath
	}
	p := launchBinary(t, o.binary, config, o.listener, env...)
	p.httpAddr, p.flightAddr, p.discovery, p.adminAddr = httpAddr, flightAddr, d, adminAddr
	isServing := func() bool { return o.startsDrained || p.healthStatus() == 200 }
	if !assert.Eventually(t, func() bool {
		return isServing() && (!o.adminAPI || adminCall(p, "GET", "/v1/readyz") == 200)
	}, waitTimeout, 5*time.Millisecond) {
		require.FailNow(t, "the program did not become ready", p.logged())
	}
	return p
}

// healthStatus returns the HTTP status of the health check, 0 if there is no answer.
func (p *program) healthStatus() int {
	r, err := http.Get("http://" + p.httpAddr + "/_health")
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}

// stop ends the program by SIGTERM and requires a successful exit without a data race.
func (p *program) stop() {
	require.NoError(p.t, p.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.exited:
		require.NoError(p.t, err, p.logged())
	case <-time.After(waitTimeout):
		require.Fail(p.t, "the program did not exit after SIGTERM", p.logged())
	}
	require.NotContains(p.t, p.logged(), "DATA RACE")
}

// waitForLog waits until the log contains a text.
func (p *program) waitForLog(text string) {
	require.Eventually(p.t, func() bool { return strings.Contains(p.logged(), text) }, waitTimeout,
		5*time.Millisecond, "no %q in the log", text)
}
