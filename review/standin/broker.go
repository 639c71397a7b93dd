package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// broker is one process of the program under test.
type broker struct {
	name   string
	rec    *record
	listen string
	mgmt   string
	config string
	tmp    string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// settings returns the settings of a small deployment with the classes, tenants, rules and limits of kolkata-main: 8
// shards with 3 leafs each, on 4 cells in a ring.
func settings() map[string]any {
	class := func(name, effect string, deadline, worth, late float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "aim_ms": 1500.0, "deadline_ms": deadline, "worth": worth,
			"late_worth": late, "dedup_window_ms": 5000.0, "dedup_scope": "all", "stream": false}
	}
	return map[string]any{
		"areas": []string{"salt-lake"}, "balancers": 2, "me": 1, "zone": 0, "resolution_ms": 5.0,
		"callers":   map[string]any{"marks_retry": false},
		"discovery": "on_request", "over_share_worth": 0.05, "family": "fanout", "kinds": []string{"small-2c"},
		"layer": 0, "layers": []string{"quote-fleet"}, "weights": "nominal", "worth_by": "work",
		"categories": []any{class("quote", "read_like", 3000, 1, 0.3), class("bind", "non_idempotent", 5000, 2, 0.1),
			class("compare", "read_like", 5000, 3, 0.3)},
		"charges": map[string]any{"connection": 0.02, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.02,
			"late_fail": 0.05, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.05},
		"customers": []any{
			map[string]any{"allowance_per_s": 80.0, "fraction": 0.42, "name": "gangasagar-life"},
			map[string]any{"allowance_per_s": 80.0, "fraction": 0.41, "name": "sundarban-general"},
			map[string]any{"allowance_per_s": 30.0, "fraction": 0.17, "name": "teesta-mutual"}},
		"domain": map[string]any{"call_cost_ms": 0.0, "complete_from": []float64{1, 1, 1}, "fetch_parts": []int{0, 0, 0},
			"incomplete_worth": []float64{0.9, 0.9, 0.9}, "min_share": []float64{1, 1, 0.7}, "per_call": 1, "sets": 4,
			"slices": 8, "warm_keys": false, "width": 3},
		"invariants": map[string]any{"ask_within_ms": 10000.0, "cold_from": 0.21, "drain_grace_ms": 1000.0,
			"fall_ms": 1500.0, "fall_multiple": 2.5, "grace_to_answer_ms": 20.0, "warm_within_ms": 18000.0},
		"limits": map[string]any{"cancel": true, "cpu_us_per_request": 0.0, "cpu_us_per_s": 587157.0,
			"dial_timeout_ms": 250.0, "keepalive_ms": 30000.0, "max_open": 368, "max_retry_after_ms": 1000.0,
			"multiplex": 32, "parallel_tries": false, "peer_messages": false, "probes": true, "retry_after": true,
			"try_limit": 4},
		"load_info":  map[string]any{"columns": []string{"rps"}, "how": "on_probe"},
		"result_mix": map[string]any{"whole": 0.35, "worst_class": 0.2, "worst_tenant": 0.1, "worst_window": 0.35},
	}
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// runCommand returns the command `run` of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("deploy/balancer.toml has no run")
	}
	return string(found[1]), nil
}

// configure prepares a broker with its own configuration file and $TMPDIR below dir.
func configure(p *play, name string, known memberList, discoveryAddress string, values map[string]any) (*broker, error) {
	b := &broker{name: name, rec: p.rec, tmp: filepath.Join(p.dir, name+"-tmp"),
		config: filepath.Join(p.dir, name+".json")}
	var err error
	if b.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	if b.mgmt, err = freeAddress(); err != nil {
		return nil, err
	}
	if err := os.Mkdir(b.tmp, 0o700); err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": b.listen, "discovery": discoveryAddress,
		"mgmt": b.mgmt, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": values})
	if err != nil {
		return nil, err
	}
	return b, os.WriteFile(b.config, text, 0o600)
}

// start runs the command of the deploy file and waits until the health check succeeds.
func (b *broker) start(p *play) error {
	if err := b.launch(p); err != nil {
		return err
	}
	return b.awaitReady()
}

// launch runs the command of the deploy file. extra is added to its environment.
func (b *broker) launch(p *play, extra ...string) error {
	root := p.root
	command, err := runCommand(root)
	if err != nil {
		return err
	}
	b.cmd = exec.Command("/bin/sh", "-c", command)
	b.cmd.Dir = root
	b.cmd.Env = append(os.Environ(), "TMPDIR="+b.tmp, "BALANCER_CONFIG="+b.config, "BALANCER_NAME="+b.name,
		"BALANCER_LISTEN="+b.listen, "BALANCER_MGMT="+b.mgmt)
	b.cmd.Env = append(b.cmd.Env, extra...)
	output, writer, err := os.Pipe()
	if err != nil {
		return err
	}
	b.cmd.Stdout, b.cmd.Stderr = writer, writer
	// The kernel ends the broker with this process, however this process ends.
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	b.ended = make(chan struct{})
	if err := p.startProcess(b); err != nil {
		return err
	}
	_ = writer.Close()
	go func() {
		for lines := bufio.NewScanner(output); lines.Scan(); {
			b.rec.line("%s log: %s", b.name, lines.Text())
		}
	}()
	go func() {
		err := b.cmd.Wait()
		b.rec.line("%s ended: %v", b.name, err)
		close(b.ended)
	}()
	return nil
}

// awaitReady waits until the health check succeeds.
func (b *broker) awaitReady() error {
	for range 200 {
		if status, _ := get("http://" + b.listen + "/_health"); status == http.StatusOK {
			b.rec.say("%s is ready, process %d", b.name, b.cmd.Process.Pid)
			return nil
		}
		select {
		case <-b.ended:
			return fmt.Errorf("%s ended at its start", b.name)
		case <-time.After(50 * time.Millisecond):
		}
	}
	return fmt.Errorf("%s is not ready within 10 s", b.name)
}

// stop kills the process and waits for its end.
func (b *broker) stop() {
	if b == nil || b.cmd == nil || b.cmd.Process == nil {
		return
	}
	_ = b.cmd.Process.Kill()
	select {
	case <-b.ended:
	case <-time.After(5 * time.Second):
	}
}

// running reports whether the process has not ended.
func (b *broker) running() bool {
	select {
	case <-b.ended:
		return false
	default:
		return true
	}
}

// operate makes a call at the operators' address and returns its status.
func (b *broker) operate(path string) (int, error) {
	request, err := http.NewRequest(http.MethodPut, "http://"+b.mgmt+path, strings.NewReader(""))
	if err != nil {
		return 0, err
	}
	request.Close = true
	client := http.Client{Timeout: 2 * time.Second}
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	b.rec.say("operator: PUT %s: %d %s", path, response.StatusCode, strings.TrimSpace(string(text)))
	return response.StatusCode, nil
}

func get(url string) (int, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0, err
	}
	_ = response.Body.Close()
	return response.StatusCode, nil
}
