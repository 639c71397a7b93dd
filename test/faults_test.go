package test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// counts are the rules as counted over a run of the suite.
type counts struct {
	Asked, Finals              int // queries of clients that stayed, and their final answers
	BindTwice, Overlaps        int // bind parts that went out again though they may have run; two attempts at once
	Drained                    int // parts to a draining node later than 1 s after the broker was told
	Short, FalselyWhole, Wrong int // answers under their least share, marked whole and not, with foreign values
}

// run is one case over one wire.
type run struct {
	t     *testing.T
	over  wire
	nodes *nodes
	p     *program
	mu    sync.Mutex
	c     *counts
	n     int
}

// ask asks as a client that stays, and counts what rules say of the answer.
func (r *run) ask(q query) reply {
	r.mu.Lock()
	r.n++
	q.id = fmt.Sprintf("%s%04d", q.class, r.n)
	if q.tenant == "" {
		q.tenant = "gangasagar-life"
	}
	r.c.Asked++
	r.mu.Unlock()
	if q.wait == 0 {
		q.wait = time.Second
	}
	a := r.over.ask(context.Background(), r.p, q)
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.end != "gone" && a.end != "" {
		r.c.Finals++
	}
	if a.end == "served" {
		least := len(q.shards)
		if q.class == "compare" {
			least = (7*len(q.shards) + 9) / 10
		}
		if len(a.docs) < least {
			r.c.Short++
		}
		if a.whole != (len(a.docs) == len(q.shards)) {
			r.c.FalselyWhole++
		}
		for s, d := range a.docs {
			if d != doc(fmt.Sprintf("%s.%d", q.id, s)) {
				r.c.Wrong++
			}
		}
	}
	return a
}

// judge counts the rules on what reached the nodes. maybeRan tells whether a deed leaves a part possibly run.
func (r *run) judge(neverRan bool) {
	seen := map[string][]sent{}
	for _, s := range r.nodes.all() {
		for _, before := range seen[s.id] {
			if strings.HasPrefix(s.id, "bind") && !neverRan {
				r.c.BindTwice++
			}
			if before.end.IsZero() || before.end.After(s.at) {
				r.c.Overlaps++
			}
		}
		seen[s.id] = append(seen[s.id], s)
	}
}

func first(d deed) func(sent, int) deed {
	return func(_ sent, nth int) deed {
		if nth == 1 {
			return d
		}
		return serve
	}
}

func always(d deed) func(sent, int) deed { return func(sent, int) deed { return d } }

func on(d deed, shards ...int) func(sent, int) deed {
	return func(s sent, _ int) deed {
		if slices.Contains(shards, s.shard) {
			return d
		}
		return serve
	}
}

// faults is the one suite; every case runs over both fronts.
var faults = []struct {
	name    string
	do      func(sent, int) deed
	dead    []int
	class   string
	shards  []int
	body    string
	tenant  string
	change  func(map[string]any) // of the settings
	end     string
	docs    int
	partial bool
	sends   int          // -1: as many as time and chance allow
	act     func(r *run) // in place of one query
}{
	{name: "quote is served whole", class: "quote", shards: []int{0, 1, 2}, end: "served", docs: 3, sends: 3},
	{name: "bind is served", class: "bind", shards: []int{5}, end: "served", docs: 1, sends: 1},
	{name: "compare is served whole", class: "compare", shards: []int{0, 1, 2, 3}, end: "served", docs: 4, sends: 4},
	{name: "bind error is not tried again", do: first(fail), class: "bind", shards: []int{1}, end: "failed", sends: 1},
	{name: "bind cut is not tried again", do: first(cut), class: "bind", shards: []int{1}, end: "failed", sends: 1},
	{name: "bind cut in its answer is not tried again", do: first(cutInAnswer), class: "bind", shards: []int{1},
		end: "failed", sends: 1},
	{name: "bind answer survives a cut after it", do: first(cutAfter), class: "bind", shards: []int{1},
		end: "served", docs: 1, sends: 1},
	{name: "bind turned away goes elsewhere", do: first(busy), class: "bind", shards: []int{1}, end: "served",
		docs: 1, sends: 2},
	{name: "bind passes refused connections", dead: []int{1, 2}, class: "bind", shards: []int{1}, end: "served",
		docs: 1, sends: 1},
	{name: "bind swallowed times out", do: always(swallow), class: "bind", shards: []int{1}, end: "timeout", sends: 1},
	{name: "bind spoilt is not tried again", do: first(spoil), class: "bind", shards: []int{1}, end: "failed", sends: 1},
	{name: "bind answer survives more behind it", do: first(serveMore), class: "bind", shards: []int{1},
		end: "served", docs: 1, sends: 1},
	{name: "quote spoilt is tried again", do: first(spoil), class: "quote", shards: []int{1}, end: "served", docs: 1,
		sends: 2},
	{name: "quote error is tried again", do: first(fail), class: "quote", shards: []int{1}, end: "served", docs: 1,
		sends: 2},
	{name: "quote cut is tried again", do: first(cut), class: "quote", shards: []int{1}, end: "served", docs: 1,
		sends: 2},
	{name: "quote cut in its answer is tried again", do: first(cutInAnswer), class: "quote", shards: []int{1},
		end: "served", docs: 1, sends: 2},
	{name: "quote swallowed moves on", do: first(swallow), class: "quote", shards: []int{1}, end: "served", docs: 1,
		sends: 2},
	{name: "quote swallowed everywhere is refused", do: always(swallow), class: "quote", shards: []int{1},
		end: "refused", sends: -1},
	{name: "compare is answered in part", do: on(swallow, 3), class: "compare", shards: []int{0, 1, 2, 3},
		end: "served", docs: 3, partial: true, sends: -1},
	{name: "compare under its least share is refused", do: on(swallow, 2, 3), class: "compare",
		shards: []int{0, 1, 2, 3}, end: "refused", sends: -1},
	{name: "a full broker refuses", class: "quote", shards: []int{1}, end: "refused",
		change: func(s map[string]any) { s["limits"].(map[string]any)["max_open"] = 1 }},
	{name: "no node at all", dead: []int{0, 1, 2, 3}, class: "bind", shards: []int{1}, end: "refused"},
	{name: "malformed query", class: "quote", body: `{"shards":[{"shard":1}`, end: "invalid"},
	{name: "query without parts", class: "quote", body: `{"shards":[],"q":""}`, end: "invalid"},
	{name: "weights that do not add up", class: "quote", body: `{"shards":[{"shard":1,"weight":0.2}],"q":""}`,
		end: "invalid"},
	{name: "shard that is not there", class: "quote", shards: []int{8}, end: "invalid"},
	{name: "unknown class", class: "checkout", shards: []int{1}, end: "unknown"},
	{name: "unknown tenant", class: "quote", shards: []int{1}, tenant: "nobody", end: "denied"},
	{name: "client cancel after a bind part was sent", do: first(serveOnceLet), sends: 1, act: cancelled},
	{name: "request id in use", do: first(serveOnceLet), sends: 1, act: twice},
	{name: "draining node gets nothing new", act: drained},
	{name: "what is taken before SIGTERM is answered", do: always(serveOnceLet), sends: 1, act: terminated},
	{name: "many at once", act: many},
}

// cancelled: the part's answer comes after the client has left; it is learnt, and the part goes out once.
func cancelled(r *run) {
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan reply)
	go func() {
		gone <- r.over.ask(ctx, r.p, query{id: "bind-left", class: "bind", tenant: "gangasagar-life",
			shards: []int{1}, wait: time.Second})
	}()
	// An end of the client's side right behind its request would be a half-close, not a cancel.
	require.Eventually(r.t, func() bool {
		s := r.nodes.all()
		return len(s) == 1 && time.Since(s[0].at) > 50*time.Millisecond
	}, patience, time.Millisecond)
	cancel()
	assert.Equal(r.t, "gone", (<-gone).end)
	if r.over.flight {
		time.Sleep(100 * time.Millisecond) // no line of the log says that the broker has seen the cancel
	} else {
		r.p.waitLog(`"code":"C03"`)
	}
	close(r.nodes.let)
	r.p.waitLog(`"id":"bind-left","end":"answered","class":1,"client_disconnected":true`)
}

// twice: a second request of the same id is turned away while the first is out, which is answered.
func twice(r *run) {
	q := query{id: "bind-same", class: "bind", tenant: "gangasagar-life", shards: []int{1}, wait: time.Second}
	answer := make(chan reply)
	go func() { answer <- r.over.ask(context.Background(), r.p, q) }()
	require.Eventually(r.t, func() bool { return len(r.nodes.all()) == 1 }, patience, time.Millisecond)
	assert.Equal(r.t, "invalid", r.over.ask(context.Background(), r.p, q).end)
	close(r.nodes.let)
	assert.Equal(r.t, "served", (<-answer).end)
}

// drained: the broker is told, and a second later the node gets nothing more.
func drained(r *run) {
	for i := range 12 {
		r.ask(query{class: "quote", shards: []int{i % 8}})
	}
	at, d := time.Now(), r.p.discovery
	d.change(func() { d.list.Members[2].Phase = "DRAINING" })
	require.Eventually(r.t, func() bool { return d.toldSince(at) }, patience, time.Millisecond)
	told := time.Now()
	for i := 0; time.Since(told) < 1100*time.Millisecond; i++ {
		require.Equal(r.t, "served", r.ask(query{class: "quote", shards: []int{i % 8}}).end)
	}
	early, late := 0, 0
	for _, s := range r.nodes.all() {
		if s.node == "s-2" && s.at.Before(at) {
			early++
		}
		if s.node == "s-2" && s.at.After(told.Add(time.Second)) {
			late++
		}
	}
	assert.Positive(r.t, early, "the node was never used")
	r.c.Drained += late
}

// terminated: SIGTERM finds a bind part at its node.
func terminated(r *run) {
	answer := make(chan reply)
	go func() { answer <- r.ask(query{class: "bind", shards: []int{1}}) }()
	require.Eventually(r.t, func() bool { return len(r.nodes.all()) == 1 }, patience, time.Millisecond)
	require.NoError(r.t, r.p.Process.Signal(syscall.SIGTERM))
	require.Eventually(r.t, func() bool { return r.p.health() != 200 }, patience, time.Millisecond)
	close(r.nodes.let)
	assert.Equal(r.t, "served", (<-answer).end)
}

// many: clients of all classes side by side, each gets its own answer.
func many(r *run) {
	var all sync.WaitGroup
	for i := range 40 {
		all.Go(func() {
			class := []string{"quote", "bind", "compare"}[i%3]
			shards := [][]int{{0, 1, 2}, {i % 8}, {4, 5, 6, 7}}[i%3]
			a := r.ask(query{class: class, shards: shards})
			assert.Contains(r.t, []string{"served", "refused"}, a.end)
		})
	}
	all.Wait()
}

// TestFaults runs the suite over both wires and compares the rules as counted.
func TestFaults(t *testing.T) {
	got := make([]counts, len(wires))
	var mu sync.Mutex
	t.Run("wires", func(t *testing.T) {
		for i, over := range wires {
			t.Run(over.name, func(t *testing.T) {
				for _, f := range faults {
					t.Run(f.name, func(t *testing.T) {
						t.Parallel()
						s := settings()
						if f.change != nil {
							f.change(s)
						}
						r := &run{t: t, over: over, c: &counts{}, nodes: startNodes(t, over, f.do, f.dead...)}
						r.p = start(t, options{settings: s, members: r.nodes.members, flight: over.flight})
						if f.act != nil {
							f.act(r)
						} else {
							a := r.ask(query{class: f.class, shards: f.shards, body: f.body, tenant: f.tenant})
							assert.Equal(t, f.end, a.end, r.p.logged())
							assert.Len(t, a.docs, f.docs)
							assert.Equal(t, f.end == "served" && !f.partial, a.whole)
							if f.end == "refused" {
								assert.Positive(t, a.after, "a refusal says when to come back")
							}
						}
						if f.sends > 0 || f.act == nil && f.sends == 0 {
							assert.Len(t, r.nodes.all(), f.sends)
						}
						if r.p.stop(); t.Failed() {
							t.Log(r.p.logged())
						}
						r.judge(strings.Contains(f.name, "turned away"))
						mu.Lock()
						defer mu.Unlock()
						got[i].add(*r.c)
					})
				}
			})
		}
	})
	http, flight := got[0], got[1]
	t.Logf("http %+v, flight %+v", http, flight)
	// The drain case asks as often as time allows; what was asked is compared with what was answered instead.
	assert.Equal(t, http.Asked, http.Finals)
	assert.Equal(t, flight.Asked, flight.Finals)
	http.Asked, http.Finals, flight.Asked, flight.Finals = 0, 0, 0, 0
	assert.Equal(t, http, flight)
	assert.Equal(t, counts{}, http)
}

func (c *counts) add(x counts) {
	c.Asked, c.Finals, c.BindTwice = c.Asked+x.Asked, c.Finals+x.Finals, c.BindTwice+x.BindTwice
	c.Overlaps, c.Drained, c.Short = c.Overlaps+x.Overlaps, c.Drained+x.Drained, c.Short+x.Short
	c.FalselyWhole, c.Wrong = c.FalselyWhole+x.FalselyWhole, c.Wrong+x.Wrong
}
