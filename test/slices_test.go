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

// The built program follows splits, merges and moves under load, over both wires, while nodes fail and a broker dies.
func TestSlicesMoveUnderLoad(t *testing.T) {
	for _, over := range wires {
		t.Run(over.name, func(t *testing.T) {
			t.Parallel()
			e, err := exp.Load("../experiments/reshard.jsonnet", map[string]string{"arm": "follow", "every": "300", "seconds": "8"})
			require.NoError(t, err)
			e.Rate, e.Updates.Outages, e.Updates.MalformedShare = 30, nil, 0.2
			s, err := world.New(e, 5).RunLive(context.Background(),
				world.LiveOptions{Binary: built, Dir: t.TempDir(), Flight: over.flight}, nil)
			require.NoError(t, err)
			require.Zero(t, s.Violations(), s.Notes)
			require.Greater(t, s.Received, 100)
			require.Greater(t, s.Changes, 10)
			require.Positive(t, s.Answered)
			require.Positive(t, s.MapsRejected, "spoilt maps were refused")
		})
	}
}

// catalogue is a stand-in that answers what the test says.
type catalogue struct {
	addr  string
	mu    sync.Mutex
	doc   any
	next  chan struct{}
	calls []string
}

func newCatalogue(t *testing.T, doc any) *catalogue {
	ln, err := net.Listen("tcp", loopback.Own())
	require.NoError(t, err)
	c := &catalogue{addr: ln.Addr().String(), doc: doc, next: make(chan struct{})}
	s := &http.Server{Handler: c}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() { _ = s.Close() })
	return c
}

func (c *catalogue) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.calls = append(c.calls, r.URL.RequestURI())
	next := c.next
	c.mu.Unlock()
	if strings.Contains(r.URL.RawQuery, "wait=") && !strings.Contains(r.URL.RawQuery, "wait=0") {
		select {
		case <-next:
		case <-r.Context().Done():
			return
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if text, raw := c.doc.(string); raw {
		_, _ = w.Write([]byte(text))
		return
	}
	_ = json.NewEncoder(w).Encode(c.doc)
}

// say changes what it answers, and ends the watches.
func (c *catalogue) say(doc any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.doc = doc
	close(c.next)
	c.next = make(chan struct{})
}

func ring(epoch uint64) shardcatalog.Document {
	d := shardcatalog.Document{Epoch: epoch, Complete: true, Buckets: 80}
	for i := range 8 {
		d.Shards = append(d.Shards, shardcatalog.Shard{ID: i, Lo: 10 * i, Hi: 10*i + 10,
			Replicas: []string{nodeName(i), nodeName(i + 1), nodeName(i + 2)}})
	}
	return d
}

func nodeName(i int) string { return []string{"s-0", "s-1", "s-2", "s-3"}[i%4] }

func (p *program) slices() (b struct {
	Epoch   uint64
	Refused uint64
	Slices  int
}) {
	r, err := http.Get("http://" + p.addr + "/_slices")
	if err != nil {
		return b
	}
	defer r.Body.Close()
	_ = json.NewDecoder(r.Body).Decode(&b)
	return b
}

// A map that cannot be leaves the one in use, with a line that names the first fault, and the whole map is asked for.
func TestRefusedMapStaysOut(t *testing.T) {
	c := newCatalogue(t, ring(5))
	operator := filepath.Join(t.TempDir(), "operator.jsonnet")
	cache := filepath.Join(t.TempDir(), "map.json")
	write := func() {
		require.NoError(t, os.WriteFile(operator, []byte("local at = '"+c.addr+"';\n{ slices: { catalogue: at, cache: '"+cache+"' } }\n"), 0o600))
	}
	write()
	ns := startNodes(t, wires[0], nil)
	t.Setenv("TERNSTAGE_OPERATOR", operator)
	p := start(t, options{members: ns.members})
	require.EqualValues(t, 5, p.slices().Epoch)
	bad := ring(6)
	bad.Shards[3].Lo++
	c.say(bad)
	p.waitLog("shard 3: buckets without a shard: 30-31 before it")
	p.waitLog(`"code":"M10"`)
	require.EqualValues(t, 5, p.slices().Epoch)
	c.say(shardcatalog.Document{Epoch: 9, Changes: []shardcatalog.Change{{Base: 7, Epoch: 9, Kind: "handover"}}})
	p.waitLog("change is based on another epoch: base epoch 7, current epoch 5")
	c.say("{")
	p.waitLog("malformed document of the shard catalogue")
	c.say(ring(7))
	require.Eventually(t, func() bool { return p.slices().Epoch == 7 }, patience, 5*time.Millisecond)
	c.say(shardcatalog.Document{Epoch: 8, Changes: []shardcatalog.Change{{Base: 7, Epoch: 8, Kind: "split", Shard: 0, At: 4, Into: []int{8, 9}}}})
	require.Eventually(t, func() bool { return p.slices().Epoch == 8 && p.slices().Slices == 9 }, patience, 5*time.Millisecond)
	// One so large that it is read beside the loop, and one right behind it.
	wide := ring(9)
	wide.Buckets = 40_080
	c.say(wide)
	p.waitLog("they are never divided")
	big := ring(10)
	big.Shards = append(big.Shards[1:], shardcatalog.Shard{ID: 8, Lo: 0, Hi: 4, Replicas: []string{"s-0"}},
		shardcatalog.Shard{ID: 9, Lo: 4, Hi: 10, Replicas: []string{"s-0"}})
	for i := range 5000 {
		big.Retired = append(big.Retired, shardcatalog.RetiredShard{ID: 1000 + i, Lo: 0, Hi: 10})
	}
	c.say(big)
	require.Eventually(t, func() bool { return p.slices().Epoch == 10 }, patience, 5*time.Millisecond)
	a := askHTTP(context.Background(), p, query{id: "q1", class: "compare", tenant: "gangasagar-life",
		shards: []int{0, 1}, wait: time.Second, body: `{"shards":[{"shard":99,"weight":1}],"q":"x","epoch":5}`})
	require.Equal(t, "invalid", a.end, "what cannot be translated is turned away at once")
	p.stop()

	// It starts again while the catalogue is away, with the map that it kept.
	c.say("nonsense")
	p = start(t, options{members: ns.members})
	require.EqualValues(t, 10, p.slices().Epoch)
	p.stop()
}

// What passes between the broker and the catalogue, clients and nodes where slices move is as the descriptions say.
func TestDescriptionsOfMovingSlices(t *testing.T) {
	is := asyncSchemas(t)
	first := ring(5)
	first.Retired = []shardcatalog.RetiredShard{{ID: 40, Lo: 0, Hi: 20}}
	first.Shards[1].State, first.Shards[1].From, first.Shards[1].To = "preparing", "s-1", "s-0"
	c := newCatalogue(t, first)
	operator := filepath.Join(t.TempDir(), "operator.jsonnet")
	require.NoError(t, os.WriteFile(operator, []byte("{ slices: { catalogue: '"+c.addr+"', wait_ms: 300 } }"), 0o600))
	ns := startNodes(t, wires[0], on(sendRaw, 3))
	ns.raw = func(id string) []byte { return frame('A', id+" moved 4 -\n") }
	t.Setenv("TERNSTAGE_OPERATOR", operator)
	p := start(t, options{members: ns.members})
	a := askHTTP(context.Background(), p, query{id: "q1", class: "quote", tenant: "gangasagar-life",
		wait: time.Second, body: `{"shards":[{"shard":1,"weight":0.5},{"shard":2,"weight":0.5}],"q":"x","epoch":5}`})
	require.Equal(t, "served", a.end)
	a = askHTTP(context.Background(), p, query{id: "q2", class: "quote", tenant: "gangasagar-life",
		wait: time.Second, body: `{"shards":[{"shard":40,"weight":1}],"q":"x"}`})
	require.Equal(t, "served", a.end, "a retired name that the whole map tells of")
	a = askHTTP(context.Background(), p, query{id: "q3", class: "bind", tenant: "gangasagar-life",
		wait: 300 * time.Millisecond, body: `{"shards":[{"shard":3,"weight":1}],"q":"x"}`})
	require.Equal(t, "refused", a.end, "no holder holds it: nothing ran, and it is told at once or in time")
	require.Positive(t, a.after)
	kinds := map[byte]string{'Q': "query", 'X': "abandon", 'A': "answer"}
	moved := 0
	for _, f := range ns.frames() {
		require.NoError(t, is(kinds[f[0]], string(f)), "%q", f)
		if strings.Contains(string(f), " moved 4 ") {
			moved++
		}
	}
	for _, s := range ns.all() {
		if s.shard == 3 {
			require.Contains(t, string(s.raw), "e=5,r=30-40")
			moved++
		}
	}
	require.Positive(t, moved)
	text, err := json.Marshal(first)
	require.NoError(t, err)
	v, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	require.NoError(t, err)
	require.NoError(t, is("map", v))
	require.Eventually(t, func() bool { c.mu.Lock(); defer c.mu.Unlock(); return len(c.calls) > 1 }, patience, time.Millisecond)
	c.mu.Lock()
	for _, target := range c.calls {
		require.NoError(t, is("askSlices", target))
	}
	c.mu.Unlock()
	doc, err := openapi3.NewLoader().LoadFromFile("../api/openapi.yaml")
	require.NoError(t, err)
	for target, schema := range map[string]string{"/_slices": "Slices"} {
		r, err := http.Get("http://" + p.addr + target)
		require.NoError(t, err)
		var body any
		require.NoError(t, json.NewDecoder(r.Body).Decode(&body))
		_ = r.Body.Close()
		require.NoError(t, doc.Components.Schemas[schema].Value.VisitJSON(body))
	}
}

// Files that cannot be used are named with line and field; check says what would be done.
func TestCheckAndOperatorsFile(t *testing.T) {
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500",
		"seed": "8c1f30d27a5be964", "settings": settings()})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(config, text, 0o600))
	run := func(operator string) (string, error) {
		path := filepath.Join(dir, "operator.jsonnet")
		require.NoError(t, os.WriteFile(path, []byte(operator), 0o600))
		out, err := exec.Command(built, "check", config, "--operator", path).CombinedOutput()
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
	out2, err := exec.Command(built).CombinedOutput()
	require.Error(t, err)
	require.Len(t, strings.Split(strings.TrimSpace(string(out2)), "\n"), 2, "two lines tell how to try it")
}
