package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"time"
)

// broker is one process of the program under test, started with the command `run` of the deploy file.
type broker struct {
	w       *world
	name    string
	address string // for clients
	mgmt    string // address of the admin API; "" for none
	command *exec.Cmd
	exited  chan struct{}
	config  map[string]any
	path    string // of the configuration
	tmp     string // $TMPDIR
	logPath string
}

type brokerOptions struct {
	name      string
	settings  map[string]any
	known     []member
	discovery string
	memoryMB  int    // limit of memory; 0 for 192
	sockets   int    // limit of descriptors; 0 for 1,024
	operator  string // path of the operator's file; "" for none

	// For an upgrade.
	mgmt     bool     // with an admin API
	listener *os.File // inherited as descriptor 5; nil for none
	address  string   // of the listener
	tmp      string   // shared $TMPDIR; "" for one of its own
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]*)"`)

// startBroker starts a process and does not wait until it serves.
func (w *world) startBroker(o brokerOptions) *broker {
	deploy, err := os.ReadFile(filepath.Join(w.root, "deploy/balancer.toml"))
	check(err)
	line := runLine.FindStringSubmatch(string(deploy))
	if line == nil {
		giveUp("deploy/balancer.toml has no command run")
	}
	b := &broker{w: w, name: o.name, address: o.address, tmp: o.tmp, exited: make(chan struct{})}
	if b.address == "" {
		b.address = freeAddress()
	}
	if b.tmp == "" {
		b.tmp, err = os.MkdirTemp(w.dir, "tmp-")
		check(err)
	}
	if o.sockets == 0 {
		o.sockets = 1024
	}
	if o.memoryMB == 0 {
		o.memoryMB = 192
	}
	b.config = map[string]any{
		"name": o.name, "listen": b.address, "discovery": o.discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": o.memoryMB, "sockets": o.sockets},
		"known":    list{Revision: 1, Complete: true, Members: o.known},
		"settings": o.settings,
	}
	if o.mgmt {
		b.mgmt = freeAddress()
		b.config["mgmt"] = b.mgmt
	}
	b.path = filepath.Join(w.dir, fmt.Sprintf("config-%s-%d.json", o.name, len(w.brokers)))
	text, err := json.Marshal(b.config)
	check(err)
	check(os.WriteFile(b.path, text, 0o600))
	log, err := os.Create(filepath.Join(w.dir, fmt.Sprintf("log-%s-%d", o.name, len(w.brokers))))
	check(err)
	b.command = exec.Command("/bin/sh", "-c", line[1])
	b.command.Dir = w.root
	b.command.Stdout, b.command.Stderr = log, log
	b.logPath = log.Name()
	b.command.Env = append(os.Environ(), "TMPDIR="+b.tmp, "BALANCER_CONFIG="+b.path, "BALANCER_NAME="+b.name,
		"BALANCER_LISTEN="+b.address, "BALANCER_DISCOVERY="+o.discovery)
	if o.mgmt {
		b.command.Env = append(b.command.Env, "BALANCER_MGMT="+b.mgmt)
	}
	if o.listener != nil {
		null, err := os.Open(os.DevNull)
		check(err)
		b.command.ExtraFiles = []*os.File{null, null, o.listener} // descriptors 3, 4 and 5
		b.command.Env = append(b.command.Env, "BALANCER_INHERITED_FD=5")
	}
	if o.operator != "" {
		b.command.Env = append(b.command.Env, "TERNSTAGE_OPERATOR="+o.operator)
	}
	b.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(b.command.Start())
	w.brokers = append(w.brokers, b)
	go func() {
		_ = b.command.Wait()
		w.note("broker %s ended: %v", b.name, b.command.ProcessState)
		close(b.exited)
	}()
	w.note("broker %s started, process %d, clients at %s", b.name, b.command.Process.Pid, b.address)
	return b
}

func (b *broker) kill() {
	_ = b.command.Process.Kill()
	<-b.exited
}

func (b *broker) hasEnded() bool {
	select {
	case <-b.exited:
		return true
	default:
		return false
	}
}

// waitHealthy waits until the health check answers 200.
func (b *broker) waitHealthy() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	waitFor(30*time.Second, "health of broker "+b.name, func() bool {
		response, err := client.Get("http://" + b.address + "/_health")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == 200
	})
	b.w.note("broker %s is healthy", b.name)
}

func freeAddress() string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	check(err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// class is one class of the settings.
type class struct {
	name, effect                 string
	aimMs, deadlineMs            float64
	worth, lateWorth, leastShare float64
}

var defaultClasses = []class{
	{"quote", "read_like", 1500, 3000, 1, 0.3, 1},
	{"bind", "non_idempotent", 1500, 5000, 2, 0.1, 1},
	{"compare", "read_like", 1500, 5000, 3, 0.3, 0.7},
}

const (
	sets   = 12 // cells
	slices = 24 // shards
	width  = 3  // replicas of a shard
	tenant = "north-life"
)

// settings returns the settings of a small deployment: 12 cells in a ring with 24 shards, each on 3 of them.
// The broker is number me of brokers.
func settings(me, brokers int, classes []class) map[string]any {
	var categories []any
	var least, whole, partial []float64
	var second []int
	for _, c := range classes {
		categories = append(categories, map[string]any{"name": c.name, "effect": c.effect, "aim_ms": c.aimMs,
			"deadline_ms": c.deadlineMs, "worth": c.worth, "late_worth": c.lateWorth, "dedup_scope": "all",
			"dedup_window_ms": 5000.0, "stream": false})
		least, whole, partial = append(least, c.leastShare), append(whole, 1), append(partial, 0.9)
		second = append(second, 0)
	}
	return map[string]any{
		"areas": []string{"here"}, "balancers": brokers, "me": me, "zone": 0, "layer": 0, "layers": []string{"nodes"},
		"callers": map[string]any{"marks_retry": false}, "categories": categories, "family": "fanout",
		"customers":        []any{map[string]any{"name": tenant, "allowance_per_s": 1000.0, "fraction": 1.0}},
		"discovery":        "on_request",
		"over_share_worth": 0.05, "resolution_ms": 5.0, "weights": "nominal", "worth_by": "request",
		"kinds": []string{"small"}, "load_info": map[string]any{"columns": []string{"rps"}, "how": "on_probe"},
		"domain": map[string]any{"call_cost_ms": 0.0, "complete_from": whole, "fetch_parts": second,
			"incomplete_worth": partial, "min_share": least, "per_call": 1, "sets": sets, "slices": slices,
			"warm_keys": false, "width": width},
		"invariants": map[string]any{"ask_within_ms": 10000.0, "cold_from": 0.21, "drain_grace_ms": 1000.0,
			"fall_ms": 1500.0, "fall_multiple": 2.5, "grace_to_answer_ms": 20.0, "warm_within_ms": 18000.0},
		"limits": map[string]any{"cancel": true, "cpu_us_per_request": 0.0, "cpu_us_per_s": 500000.0,
			"dial_timeout_ms": 250.0, "keepalive_ms": 30000.0, "max_open": 368, "max_retry_after_ms": 1000.0,
			"multiplex": 32, "parallel_tries": false, "peer_messages": false, "probes": true, "retry_after": true,
			"try_limit": 4},
	}
}

// residentMB returns the memory of the process in MB (2^20 bytes), as the system counts it; 0 if it has ended.
func (b *broker) residentMB() float64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", b.command.Process.Pid))
	var size, resident int
	if _, err := fmt.Sscan(string(text), &size, &resident); err != nil {
		return 0
	}
	return float64(resident) * float64(os.Getpagesize()) / (1 << 20)
}
