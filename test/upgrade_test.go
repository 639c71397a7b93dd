package test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"ternstage/internal/lab/loopback"
)

// newPair returns backends and the options that two processes of one broker share: the listener, $TMPDIR and the
// endpoint list.
func newPair(t *testing.T) (*backendSet, options) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	backends := startBackends(t, protocols[0], nil)
	return backends, options{adminAPI: true, stateDir: t.TempDir(), listener: blockingListener(t, ln),
		listenAddr: ln.Addr().String(), endpoints: backends.endpoints}
}

// kill ends the program by SIGKILL.
func (p *program) kill() {
	require.NoError(p.t, p.Process.Kill())
	<-p.exited
}

// requireServed sends n requests over all shards and asserts that all are served.
func requireServed(t *testing.T, p *program, name string, n int) {
	t.Helper()
	for i := range n {
		assert.Equal(t, "served", sendHTTP(context.Background(), p,
			request{id: fmt.Sprintf("%s%d", name, i), class: "quote",
				tenant: "gangasagar-life", shards: []int{i % 8}, timeout: time.Second}).outcome, "%s %d", name, i)
	}
}

// TestSuspendAndResumeAtTwoProcesses suspends a backend at one process and resumes it at the other right after, in
// both orders, and kills both. The last call that succeeded must hold at the next process, from its first request on.
func TestSuspendAndResumeAtTwoProcesses(t *testing.T) {
	for _, last := range []string{"resume", "suspend"} {
		t.Run(last, func(t *testing.T) {
			backends, o := newPair(t)
			old, next := start(t, o), start(t, o)
			if last == "resume" {
				require.Equal(t, 200, adminCall(old, "PUT", "/v1/leafs/s-2/suspend"))
				require.Equal(t, 200, adminCall(next, "PUT", "/v1/leafs/s-2/resume"))
			} else {
				require.Equal(t, 200, adminCall(old, "PUT", "/v1/leafs/s-2/suspend"))
				require.Equal(t, 200, adminCall(old, "PUT", "/v1/leafs/s-2/resume"))
				require.Equal(t, 200, adminCall(next, "PUT", "/v1/leafs/s-2/suspend"))
			}
			old.kill()
			next.kill()
			third := start(t, o)
			since := time.Now()
			requireServed(t, third, last, 48)
			assert.Equal(t, last == "resume", attemptsSince(backends, "s-2", since) > 0)
		})
	}
}

// TestBothSuspendAtOnce suspends a different backend at each of two processes at the same time, ten times. Both
// suspensions must hold at a third process.
func TestBothSuspendAtOnce(t *testing.T) {
	_, o := newPair(t)
	old, next := start(t, o), start(t, o)
	for range 10 {
		got := make(chan int, 2)
		for p, id := range map[*program]string{old: "s-1", next: "s-2"} {
			go func() { got <- adminCall(p, "PUT", "/v1/leafs/"+id+"/suspend") }()
		}
		require.Equal(t, []int{200, 200}, []int{<-got, <-got})
		third := start(t, o)
		third.waitForLog(`"suspended":["s-1","s-2"]`)
		third.kill()
		require.Equal(t, 200, adminCall(next, "PUT", "/v1/leafs/s-1/resume"))
		require.Equal(t, 200, adminCall(old, "PUT", "/v1/leafs/s-2/resume"))
	}
}

// TestProcessesKilledDuringUpgrade kills a new process before it is ready and another one after it, while the old one
// serves on. A third process takes over, and within 2 s a fourth one from it; the fourth is killed with requests in
// flight, and a fifth serves on. All other requests must be served.
func TestProcessesKilledDuringUpgrade(t *testing.T) {
	backends, o := newPair(t)
	old := start(t, o)
	early := launchWithListener(t, configBeside(t, old, backends), o.listener, "BALANCER_MGMT="+freeAddress(t),
		"TMPDIR="+o.stateDir)
	early.kill()
	requireServed(t, old, "early", 16)
	ready := start(t, o)
	ready.kill()
	requireServed(t, old, "ready", 16)

	begin := time.Now()
	third := start(t, o)
	old.stop()
	fourth := start(t, o)
	third.stop()
	assert.Less(t, time.Since(begin), 10*time.Second)
	requireServed(t, fourth, "fourth", 16)
	fourth.waitForLog("slow-start sends taken over")

	fifth := start(t, o)
	go func() {
		for i := range 50 {
			sendHTTP(context.Background(), fourth, request{id: fmt.Sprintf("hand%d", i), class: "quote",
				tenant: "gangasagar-life", shards: []int{i % 8}, timeout: time.Second})
		}
	}()
	time.Sleep(20 * time.Millisecond)
	fourth.kill()
	time.Sleep(100 * time.Millisecond)
	requireServed(t, fifth, "fifth", 16)
}

// configBeside returns the configuration of another process beside one that serves.
func configBeside(t *testing.T, p *program, backends *backendSet) []byte {
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": p.httpAddr, "discovery": p.discovery.addr,
		"seed":     "1",
		"settings": settings(), "known": p.discovery.list, "limits": map[string]any{"cores": 1, "memory_mb": 192,
			"sockets": 1024}})
	require.NoError(t, err)
	require.NotEmpty(t, backends.endpoints)
	return text
}

// TestDrainAcrossAnUpgrade drains the broker and then upgrades it. The new process must be ready to take over while
// the health of both is 503. Activate at either one, before or after SIGTERM at the old one, must make the new one
// healthy.
func TestDrainAcrossAnUpgrade(t *testing.T) {
	for _, c := range []struct{ name, order string }{
		{"activate at the new one, then SIGTERM", "new term"},
		{"SIGTERM, then activate at the new one", "term new"},
		{"activate at the old one, then SIGTERM", "old term"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, o := newPair(t)
			old := start(t, o)
			require.Equal(t, 200, adminCall(old, "PUT", "/v1/aggregator/drain"))
			o.startsDrained = true
			next := start(t, o)
			for range 20 { // either process may accept
				require.Equal(t, 503, next.healthStatus())
			}
			for step := range strings.FieldsSeq(c.order) {
				switch step {
				case "new":
					require.Equal(t, 200, adminCall(next, "PUT", "/v1/aggregator/activate"))
				case "old":
					require.Equal(t, 200, adminCall(old, "PUT", "/v1/aggregator/activate"))
				case "term":
					old.stop()
				}
				time.Sleep(60 * time.Millisecond)
			}
			for range 20 {
				require.Equal(t, 200, next.healthStatus())
			}
			requireServed(t, next, "after", 8)
		})
	}
}

// TestAdminAPIUnderLoad has 64 callers send half a call while another process competes for the only core of the
// program. Each call must be answered within a second.
func TestAdminAPIUnderLoad(t *testing.T) {
	_, p := startWithBackends(t, nil, options{adminAPI: true})
	busy := exec.Command("sh", "-c", "while :; do :; done") // shares the program's one core
	busy.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	pinToOneCore(t, p.Process.Pid)
	require.NoError(t, busy.Start())
	defer func() { _ = busy.Process.Kill(); _ = busy.Wait() }()
	pinToOneCore(t, busy.Process.Pid)
	for range 64 {
		c, err := net.Dial("tcp", p.adminAddr)
		require.NoError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = c.Write([]byte("PUT /v1/leafs/s-1/sus"))
	}
	for range 20 {
		at := time.Now()
		assert.Equal(t, 200, adminCall(p, "GET", "/v1/readyz"))
		assert.Less(t, time.Since(at), time.Second)
	}
}

// pinToOneCore restricts all threads of a process to the first core that this process may use.
func pinToOneCore(t *testing.T, pid int) {
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	require.NoError(t, err)
	var set unix.CPUSet
	require.NoError(t, unix.SchedGetaffinity(0, &set))
	first := 0
	for !set.IsSet(first) {
		first++
	}
	set.Zero()
	set.Set(first)
	for _, th := range threads {
		id, err := strconv.Atoi(th.Name())
		require.NoError(t, err)
		require.NoError(t, unix.SchedSetaffinity(id, &set))
	}
}
