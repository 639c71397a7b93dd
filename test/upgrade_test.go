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

// pair is what two processes of one aggregator share: the listener, $TMPDIR and the nodes.
func pair(t *testing.T) (*nodes, options) {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	ns := startNodes(t, wires[0], nil)
	return ns, options{mgmt: true, tmp: t.TempDir(), inherit: keptListener(t, ln), listen: ln.Addr().String(),
		members: ns.members}
}

// kill ends the program as a machine's fault does.
func (p *program) kill() {
	require.NoError(p.t, p.Process.Kill())
	<-p.done
}

// serves asks n queries over all shards and tells whether all were served.
func serves(t *testing.T, p *program, name string, n int) {
	t.Helper()
	for i := range n {
		assert.Equal(t, "served", askHTTP(context.Background(), p, query{id: fmt.Sprintf("%s%d", name, i), class: "quote",
			tenant: "gangasagar-life", shards: []int{i % 8}, wait: time.Second}).end, "%s %d", name, i)
	}
}

// TestSuspendAndResumeAtTwoProcesses: a leaf is suspended at one process and resumed at the other with nothing between, in
// both orders, and both are killed right after the last yes. What was said yes to last holds at the next process, from
// its first query.
func TestSuspendAndResumeAtTwoProcesses(t *testing.T) {
	for _, last := range []string{"resume", "suspend"} {
		t.Run(last, func(t *testing.T) {
			ns, o := pair(t)
			old, next := start(t, o), start(t, o)
			if last == "resume" {
				require.Equal(t, 200, call(old, "PUT", "/v1/leafs/s-2/suspend"))
				require.Equal(t, 200, call(next, "PUT", "/v1/leafs/s-2/resume"))
			} else {
				require.Equal(t, 200, call(old, "PUT", "/v1/leafs/s-2/suspend"))
				require.Equal(t, 200, call(old, "PUT", "/v1/leafs/s-2/resume"))
				require.Equal(t, 200, call(next, "PUT", "/v1/leafs/s-2/suspend"))
			}
			old.kill()
			next.kill()
			third := start(t, o)
			since := time.Now()
			serves(t, third, last, 48)
			assert.Equal(t, last == "resume", sentTo(ns, "s-2", since) > 0)
		})
	}
}

// TestBothSuspendAtOnce: each process is told to suspend another leaf in the same moment, ten times over, and all that
// was said yes to holds at a third one.
func TestBothSuspendAtOnce(t *testing.T) {
	_, o := pair(t)
	old, next := start(t, o), start(t, o)
	for range 10 {
		got := make(chan int, 2)
		for p, id := range map[*program]string{old: "s-1", next: "s-2"} {
			go func() { got <- call(p, "PUT", "/v1/leafs/"+id+"/suspend") }()
		}
		require.Equal(t, []int{200, 200}, []int{<-got, <-got})
		third := start(t, o)
		third.waitLog(`"suspended":["s-1","s-2"]`)
		third.kill()
		require.Equal(t, 200, call(next, "PUT", "/v1/leafs/s-1/resume"))
		require.Equal(t, 200, call(old, "PUT", "/v1/leafs/s-2/resume"))
	}
}

// TestProcessesThatDieInAnUpgrade: a new process dies before it said yes, another after it, the old one serves on; the
// third takes over and within 2 s a fourth does from it. All queries are served, and SIGKILL at the old one with requests
// in hand leaves the new one serving.
func TestProcessesThatDieInAnUpgrade(t *testing.T) {
	ns, o := pair(t)
	old := start(t, o)
	early := launchWith(t, mustConfig(t, old, ns), o.inherit, "BALANCER_MGMT="+freeAddress(t), "TMPDIR="+o.tmp)
	early.kill()
	serves(t, old, "early", 16)
	ready := start(t, o)
	ready.kill()
	serves(t, old, "ready", 16)

	begin := time.Now()
	third := start(t, o)
	old.stop()
	fourth := start(t, o)
	third.stop()
	assert.Less(t, time.Since(begin), 10*time.Second)
	serves(t, fourth, "fourth", 16)
	fourth.waitLog("slow-start sends taken over")

	fifth := start(t, o)
	go func() {
		for i := range 50 {
			askHTTP(context.Background(), fourth, query{id: fmt.Sprintf("hand%d", i), class: "quote",
				tenant: "gangasagar-life", shards: []int{i % 8}, wait: time.Second})
		}
	}()
	time.Sleep(20 * time.Millisecond)
	fourth.kill()
	time.Sleep(100 * time.Millisecond)
	serves(t, fifth, "fifth", 16)
}

// mustConfig is the configuration of another process beside one that serves.
func mustConfig(t *testing.T, p *program, ns *nodes) []byte {
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": p.addr, "discovery": p.discovery.addr, "seed": "1",
		"settings": settings(), "known": p.discovery.list, "limits": map[string]any{"cores": 1, "memory_mb": 192,
			"sockets": 1024}})
	require.NoError(t, err)
	require.NotEmpty(t, ns.members)
	return text
}

// TestDrainAcrossAnUpgrade: the aggregator is drained and then upgraded. The new process may take over, as readyz says,
// while health says no at both; activate at either, before or after SIGTERM at the old one, has it say yes.
func TestDrainAcrossAnUpgrade(t *testing.T) {
	for _, c := range []struct{ name, order string }{
		{"activate at the new one, then SIGTERM", "new term"},
		{"SIGTERM, then activate at the new one", "term new"},
		{"activate at the old one, then SIGTERM", "old term"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, o := pair(t)
			old := start(t, o)
			require.Equal(t, 200, call(old, "PUT", "/v1/aggregator/drain"))
			o.drained = true
			next := start(t, o)
			for range 20 { // either process accepts
				require.Equal(t, 503, next.health())
			}
			for step := range strings.FieldsSeq(c.order) {
				switch step {
				case "new":
					require.Equal(t, 200, call(next, "PUT", "/v1/aggregator/activate"))
				case "old":
					require.Equal(t, 200, call(old, "PUT", "/v1/aggregator/activate"))
				case "term":
					old.stop()
				}
				time.Sleep(60 * time.Millisecond)
			}
			for range 20 {
				require.Equal(t, 200, next.health())
			}
			serves(t, next, "after", 8)
		})
	}
}

// TestOperatorsAreAnsweredUnderLoad: 64 callers send half a call and stay while another process takes nine tenths of the
// CPU that the program may use. A real call is answered within a second, each time.
func TestOperatorsAreAnsweredUnderLoad(t *testing.T) {
	_, p := site(t, nil, options{mgmt: true})
	busy := exec.Command("sh", "-c", "while :; do :; done") // shares the program's one core
	busy.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	pin(t, p.Process.Pid)
	require.NoError(t, busy.Start())
	defer func() { _ = busy.Process.Kill(); _ = busy.Wait() }()
	pin(t, busy.Process.Pid)
	for range 64 {
		c, err := net.Dial("tcp", p.mgmt)
		require.NoError(t, err)
		defer c.Close()
		_, _ = c.Write([]byte("PUT /v1/leafs/s-1/sus"))
	}
	for range 20 {
		at := time.Now()
		assert.Equal(t, 200, call(p, "GET", "/v1/readyz"))
		assert.Less(t, time.Since(at), time.Second)
	}
}

// pin has a process and its threads run on one core.
func pin(t *testing.T, pid int) {
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
