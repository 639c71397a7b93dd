package test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/stretchr/testify/require"

	"ternstage/internal/lab/exp"
	"ternstage/internal/lab/loopback"
	"ternstage/internal/lab/world"
	"ternstage/internal/transport/shardcatalog"
)

// TestReshardingUnderLoad plays splits, merges and moves of shards under load, over both protocols, while backends
// fail and a broker is killed.
func TestReshardingUnderLoad(t *testing.T) {
	for _, protocol := range protocols {
		t.Run(protocol.name, func(t *testing.T) {
			t.Parallel()
			e, err := exp.Load("../experiments/reshard.jsonnet",
				map[string]string{"arm": "follow", "every": "300", "seconds": "8"})
			require.NoError(t, err)
			e.Rate, e.Updates.Outages, e.Updates.MalformedShare = 30, nil, 0.2
			s, err := world.New(e, 5).RunLive(context.Background(),
				world.LiveOptions{Binary: programPath, Dir: t.TempDir(), Flight: protocol.flight}, nil)
			require.NoError(t, err)
			require.Zero(t, s.Violations(), s.Notes)
			require.Greater(t, s.Received, 100)
			require.Greater(t, s.Changes, 10)
			require.Positive(t, s.Answered)
			require.Positive(t, s.MapsRejected, "no malformed map was rejected")
		})
	}
}

// shardCatalogue simulates the shard catalogue. It answers the document of the test; a string is sent as it is. A watch
// waits only while its index is the epoch of the document.
type shardCatalogue struct {
	addr       string
	mu         sync.Mutex
	document   any
	epoch      uint64        // of the document; 0 for a string
	watchDelay time.Duration // between the arrival of a watch and its comparison with the epoch
	changed    chan struct{}
	targets    []string
}

// newShardCatalogue starts a catalogue that answers a document.
func newShardCatalogue(t *testing.T, doc any) *shardCatalogue {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	c := &shardCatalogue{addr: ln.Addr().String(), document: doc, epoch: epochOf(doc), changed: make(chan struct{})}
	s := &http.Server{Handler: c}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return c
}

func (c *shardCatalogue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.targets = append(c.targets, r.URL.RequestURI())
	delay := c.watchDelay
	c.mu.Unlock()
	query := r.URL.Query()
	isWatch := query.Get("wait") != "" && query.Get("wait") != "0"
	if isWatch {
		time.Sleep(delay)
	}
	c.mu.Lock()
	next := c.changed
	isCurrent := query.Get("index") == strconv.FormatUint(c.epoch, 10)
	c.mu.Unlock()
	if isWatch && isCurrent {
		select {
		case <-next:
		case <-r.Context().Done():
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if text, raw := c.document.(string); raw {
		_, _ = w.Write([]byte(text))
		return
	}
	_ = json.NewEncoder(w).Encode(c.document)
}

// publish changes the document and answers the waiting watches.
func (c *shardCatalogue) publish(doc any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.document = doc
	c.epoch = epochOf(doc)
	close(c.changed)
	c.changed = make(chan struct{})
}

// epochOf returns the epoch of a catalogue's document, or 0 if it is text.
func epochOf(document any) uint64 {
	if d, ok := document.(shardcatalog.Document); ok {
		return d.Epoch
	}
	return 0
}

// shardMap returns a map of 8 shards of 10 buckets, with 3 replicas each.
func shardMap(epoch uint64) shardcatalog.Document {
	d := shardcatalog.Document{Epoch: epoch, Complete: true, Buckets: 80}
	for i := range 8 {
		d.Shards = append(d.Shards, shardcatalog.Shard{ID: i, Lo: 10 * i, Hi: 10*i + 10,
			Replicas: []string{backendID(i), backendID(i + 1), backendID(i + 2)}})
	}
	return d
}

// backendID returns the id of a backend, modulo the four that tests start.
func backendID(i int) string { return []string{"s-0", "s-1", "s-2", "s-3"}[i%4] }

// shardMapStatus returns what the program reports about its shard map; zeros without an answer.
func (p *program) shardMapStatus() (b struct {
	Epoch   uint64
	Refused uint64
	Slices  int
}) {
	r, err := http.Get("http://" + p.httpAddr + "/_slices")
	if err != nil {
		return b
	}
	defer func() { _ = r.Body.Close() }()
	_ = json.NewDecoder(r.Body).Decode(&b)
	return b
}

// TestRejectedShardMap publishes invalid maps. The map in use must stay, the first fault must be logged, and the
// complete map must be requested.
func TestRejectedShardMap(t *testing.T) {
	c := newShardCatalogue(t, shardMap(5))
	c.watchDelay = 30 * time.Millisecond // each map is published while a watch is on its way
	operator := filepath.Join(t.TempDir(), "operator.jsonnet")
	cache := filepath.Join(t.TempDir(), "map.json")
	write := func() {
		text := "local at = '" + c.addr + "';\n{ slices: { catalogue: at, cache: '" + cache + "' } }\n"
		require.NoError(t, os.WriteFile(operator, []byte(text), 0o600))
	}
	write()
	backends := startBackends(t, protocols[0], nil)
	t.Setenv("TERNSTAGE_OPERATOR", operator)
	p := start(t, options{endpoints: backends.endpoints})
	require.EqualValues(t, 5, p.shardMapStatus().Epoch)
	bad := shardMap(6)
	bad.Shards[3].Lo++
	c.publish(bad)
	p.waitForLog("shard 3: buckets without a shard: 30-31 before it")
	p.waitForLog(`"code":"M10"`)
	require.EqualValues(t, 5, p.shardMapStatus().Epoch)
	c.publish(shardcatalog.Document{Epoch: 9, Changes: []shardcatalog.Change{{Base: 7, Epoch: 9, Kind: "handover"}}})
	p.waitForLog("change is based on another epoch: base epoch 7, current epoch 5")
	c.publish("{")
	p.waitForLog("malformed document of the shard catalogue")
	c.publish(shardMap(7))
	require.Eventually(t, func() bool { return p.shardMapStatus().Epoch == 7 }, waitTimeout, 5*time.Millisecond)
	c.publish(shardcatalog.Document{Epoch: 8, Changes: []shardcatalog.Change{{Base: 7, Epoch: 8, Kind: "split",
		Shard: 0, At: 4, Into: []int{8, 9}}}})
	require.Eventually(t, func() bool { return p.shardMapStatus().Epoch == 8 && p.shardMapStatus().Slices == 9 },
		waitTimeout, 5*time.Millisecond)
	// Two maps in a row that are so large that they are decoded outside the event loop.
	wide := shardMap(9)
	wide.Buckets = 40_080
	c.publish(wide)
	p.waitForLog("they are never divided")
	big := shardMap(10)
	big.Shards = append(big.Shards[1:], shardcatalog.Shard{ID: 8, Lo: 0, Hi: 4, Replicas: []string{"s-0"}},
		shardcatalog.Shard{ID: 9, Lo: 4, Hi: 10, Replicas: []string{"s-0"}})
	for i := range 5000 {
		big.Retired = append(big.Retired, shardcatalog.RetiredShard{ID: 1000 + i, Lo: 0, Hi: 10})
	}
	c.publish(big)
	require.Eventually(t, func() bool { return p.shardMapStatus().Epoch == 10 }, waitTimeout, 5*time.Millisecond)
	a := sendHTTP(context.Background(), p, request{id: "q1", class: "compare", tenant: "gangasagar-life",
		shards: []int{0, 1}, timeout: time.Second, body: `{"shards":[{"shard":99,"weight":1}],"q":"x","epoch":5}`})
	require.Equal(t, "invalid", a.outcome, "shards without a translation are invalid")
	p.stop()

	// While the catalogue is unusable, the program restarts with its cached map.
	c.publish("nonsense")
	p = start(t, options{endpoints: backends.endpoints})
	require.EqualValues(t, 10, p.shardMapStatus().Epoch)
	p.stop()
}

// TestReshardingMatchesAPIDescriptions validates the messages between the broker and the catalogue, clients and
// backends during resharding against the API descriptions.
func TestReshardingMatchesAPIDescriptions(t *testing.T) {
	validate := asyncValidator(t)
	first := shardMap(5)
	first.Retired = []shardcatalog.RetiredShard{{ID: 40, Lo: 0, Hi: 20}}
	first.Shards[1].State, first.Shards[1].From, first.Shards[1].To = "preparing", "s-1", "s-0"
	c := newShardCatalogue(t, first)
	operator := filepath.Join(t.TempDir(), "operator.jsonnet")
	require.NoError(t, os.WriteFile(operator, []byte("{ slices: { catalogue: '"+c.addr+"', wait_ms: 300 } }"), 0o600))
	backends := startBackends(t, protocols[0], onShards(answerRaw, 3))
	backends.rawAnswer = func(id string) []byte { return encodeFrame('A', id+" moved 4 -\n") }
	t.Setenv("TERNSTAGE_OPERATOR", operator)
	p := start(t, options{endpoints: backends.endpoints})
	a := sendHTTP(context.Background(), p, request{id: "q1", class: "quote", tenant: "gangasagar-life",
		timeout: time.Second, body: `{"shards":[{"shard":1,"weight":0.5},{"shard":2,"weight":0.5}],"q":"x","epoch":5}`})
	require.Equal(t, "served", a.outcome)
	a = sendHTTP(context.Background(), p, request{id: "q2", class: "quote", tenant: "gangasagar-life",
		timeout: time.Second, body: `{"shards":[{"shard":40,"weight":1}],"q":"x"}`})
	require.Equal(t, "served", a.outcome, "the complete map translates retired shards")
	a = sendHTTP(context.Background(), p, request{id: "q3", class: "bind", tenant: "gangasagar-life",
		timeout: 300 * time.Millisecond, body: `{"shards":[{"shard":3,"weight":1}],"q":"x"}`})
	require.Equal(t, "rejected", a.outcome, "all replicas have moved the shard: nothing ran, and the request is rejected")
	require.Positive(t, a.retryAfter)
	kinds := map[byte]string{'Q': "query", 'X': "abandon", 'A': "answer"}
	movedFrames := 0
	for _, f := range backends.frames() {
		require.NoError(t, validate(kinds[f[0]], string(f)), "%q", f)
		if strings.Contains(string(f), " moved 4 ") {
			movedFrames++
		}
	}
	for _, s := range backends.attempts() {
		if s.shard == 3 {
			require.Contains(t, string(s.frame), "e=5,r=30-40")
			movedFrames++
		}
	}
	require.Positive(t, movedFrames)
	text, err := json.Marshal(first)
	require.NoError(t, err)
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	require.NoError(t, err)
	require.NoError(t, validate("map", v))
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.targets) > 1 }, waitTimeout,
		time.Millisecond)
	c.mu.Lock()
	for _, target := range c.targets {
		require.NoError(t, validate("askSlices", target))
	}
	c.mu.Unlock()
	doc, err := openapi3.NewLoader().LoadFromFile("../api/openapi.yaml")
	require.NoError(t, err)
	for target, schema := range map[string]string{"/_slices": "Slices"} {
		r, err := http.Get("http://" + p.httpAddr + target)
		require.NoError(t, err)
		var body any
		require.NoError(t, json.NewDecoder(r.Body).Decode(&body))
		_ = r.Body.Close()
		require.NoError(t, doc.Components.Schemas[schema].Value.VisitJSON(body))
	}
}

// TestCheckOperatorFile requires that `ternstage check` reports what it would do and names the line and field of an
// unusable file.
func TestCheckOperatorFile(t *testing.T) {
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500",
		"seed": "8c1f30d27a5be964", "settings": settings()})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(config, text, 0o600))
	run := func(operator string) (string, error) {
		path := filepath.Join(dir, "operator.jsonnet")
		require.NoError(t, os.WriteFile(path, []byte(operator), 0o600))
		out, err := exec.Command(programPath, "check", config, "--operator", path).CombinedOutput()
		return string(out), err
	}
	out, err := run("{ slices: { catalogue: '127.0.0.1:8600' } }")
	require.NoError(t, err, out)
	require.Contains(t, out, "slices move, as the catalogue at 127.0.0.1:8600 says")
	require.Contains(t, out, "class bind: non_idempotent")
	for operator, want := range map[string]string{
		"{\n slices: {\n  catalogue: 'localhost:8600' } }": "operator.jsonnet:3: slices.catalogue:",
		"{\n flight: { enabled: true } }":                  "operator.jsonnet:2: flight: missing property",
		"{\n slices: 7,\n other: 1 }":                      "operator.jsonnet",
		"{\n slices: { catalogue: nope } }":                "operator.jsonnet:2:23-27 Unknown variable: nope",
	} {
		out, err := run(operator)
		require.Error(t, err, out)
		require.Contains(t, out, want)
	}
	out2, err := exec.Command(programPath).CombinedOutput()
	require.Error(t, err)
	require.Len(t, strings.Split(strings.TrimSpace(string(out2)), "\n"), 2, "usage of two lines")
}
