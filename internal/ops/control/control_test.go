package control

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"ternstage/internal/decision/scheduler"
	"ternstage/internal/logs"
	"ternstage/internal/loop"
	"ternstage/internal/ops/handover"
	"ternstage/internal/ops/maintenance"
	"ternstage/internal/store/statefile"
)

// process is one process of an aggregator as the control sees it.
type process struct {
	*Control
	heard []scheduler.Endpoint // what the module was told
	away  bool
	kept  bool
	idle  int
	log   string
}

func (p *process) EndpointsChanged(_ scheduler.UpdateKind, es []scheduler.Endpoint) {
	p.heard = append(p.heard, es...)
}
func (p *process) Healthy() bool              { return !p.away }
func (p *process) CanServe() bool             { return true }
func (p *process) SetDraining(on bool)        { p.away = on }
func (p *process) CloseAfterResponse(on bool) { p.kept = on }
func (p *process) CloseIdle()                 { p.idle++ }

// Endpoint gives every id a listed leaf, numbered by its first byte, with what holds applied.
func (p *process) Endpoint(id string) (scheduler.Endpoint, bool) {
	e := scheduler.Endpoint{Replica: uint32(id[len(id)-1]), State: scheduler.Ready}
	if p.Control != nil && p.suspensions.table.Suspended(id) {
		e.State = scheduler.Draining
	}
	return e, true
}

func start(t *testing.T, path string) *process {
	l, err := loop.New()
	require.NoError(t, err)
	p := &process{log: filepath.Join(t.TempDir(), "log")}
	f, err := os.Create(p.log)
	require.NoError(t, err)
	log := logs.New(f, "n0")
	t.Cleanup(func() { log.Close(); _ = f.Close() })
	p.Control = New(l, log, path, p, p, p)
	return p
}

func (p *process) logged(t *testing.T) string {
	p.Control.log.Close()
	text, err := os.ReadFile(p.log)
	require.NoError(t, err)
	return string(text)
}

// TestShared: what one process holds out, the other holds out at its next look, and a process that starts
// later holds it from the start; one resume ends it everywhere.
func TestShared(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held.json")
	a, b := start(t, path), start(t, path)
	a.Suspensions().MemberListed("s-1")
	require.Equal(t, 200, a.Suspend("s-1").Status)
	require.Equal(t, []scheduler.Endpoint{{Replica: '1', State: scheduler.Draining}}, a.heard, "the module hears at once")

	b.suspensions.refresh()
	assert.True(t, b.Suspensions().Suspended("s-1"), "the other process holds it after a look")
	assert.Equal(t, scheduler.Draining, b.heard[0].State)
	c := start(t, path)
	assert.True(t, c.Suspensions().Suspended("s-1"), "a process that starts reads it")

	require.Equal(t, 200, b.Resume("s-1").Status, "a resume at either process ends it")
	a.suspensions.refresh()
	assert.False(t, a.Suspensions().Suspended("s-1"))
	assert.Equal(t, scheduler.Ready, a.heard[len(a.heard)-1].State, "the module hears that it serves again")
	b.heard = nil
	b.suspensions.refresh()
	assert.Empty(t, b.heard, "a file that it wrote itself is no news")
}

// TestUnusableFile: a torn or foreign file is logged and leaves what is held as it was; a file that cannot be
// written is a no, while the leaf is held out in this process.
func TestUnusableFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "held.json")
	a := start(t, path)
	a.Suspensions().MemberListed("s-1")
	require.True(t, a.Suspend("s-1").OK())
	require.NoError(t, os.WriteFile(path, []byte(`{"form":"ternstage held leafs","vers`), 0o600))
	a.suspensions.refresh()
	a.suspensions.refresh()
	assert.True(t, a.Suspensions().Suspended("s-1"), "a torn file frees nothing")
	require.NoError(t, os.WriteFile(path, maintenance.EncodeSuspensions(nil)[:5], 0o600))
	b := start(t, path)
	assert.Empty(t, b.Suspensions().IDs(), "a start with a torn file holds nothing and goes on")
	assert.Contains(t, b.logged(t), "torn or not JSON")

	gone := start(t, filepath.Join(dir, "no such folder", "held.json"))
	gone.Suspensions().MemberListed("s-2")
	v := gone.Suspend("s-2")
	assert.Equal(t, 500, v.Status, "not kept for the next process is a no")
	assert.True(t, gone.Suspensions().Suspended("s-2"), "but it holds here")
}

// TestPhases: the front is told each phase of a drain once, and idle connections are closed at every look of
// the last one.
func TestPhases(t *testing.T) {
	p := start(t, filepath.Join(t.TempDir(), "held.json"))
	require.True(t, p.Ready())
	require.True(t, p.Drain().Changed)
	assert.True(t, p.away)
	assert.False(t, p.Ready())
	p.drain.state = maintenance.Drain{}
	p.drain.state.Begin(p.loop.Now() - maintenance.CloseIdleAfterMs) // as if it had begun that long ago
	p.drain.applyPhase()
	p.drain.applyPhase()
	assert.True(t, p.kept)
	assert.Equal(t, 2, p.idle)
	require.True(t, p.Activate().Changed)
	assert.False(t, p.away)
	assert.False(t, p.kept)
	assert.True(t, p.Ready())
	p.Stop()
	assert.False(t, p.Ready(), "a process that ends is not ready")
}

// TestTwoWriters: two processes change the file at once, each many times, by turns of the scheduler. Every call that
// was said yes to holds at a process that starts afterwards; without the lock some of them are lost.
func TestTwoWriters(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held.json")
	const each = 200
	var done sync.WaitGroup
	said := make([]map[string]bool, 2)
	for w := range said {
		p := start(t, path)
		said[w] = map[string]bool{}
		for i := range each {
			p.Suspensions().MemberListed(fmt.Sprintf("s-%d-%d", w, i))
		}
		done.Go(func() {
			for i := range each {
				id := fmt.Sprintf("s-%d-%d", w, i)
				for !p.Suspend(id).OK() { // the other was within its change all the while: the call is made again
				}
				said[w][id] = true
				if i%3 == 0 {
					for !p.Resume(id).OK() {
					}
					said[w][id] = false
				}
			}
		})
	}
	done.Wait()
	next := start(t, path)
	for w := range said {
		for id, held := range said[w] {
			assert.Equal(t, held, next.Suspensions().Suspended(id), id)
		}
	}
}

// TestLockedIsNo: another process was stopped within its change. A call is answered no within 50 ms and has changed
// nothing, here or in the file; once the other is gone the same call is a yes.
func TestLockedIsNo(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held.json")
	p := start(t, path)
	p.Suspensions().MemberListed("s-1")
	lock, err := statefile.Lock(path)
	require.NoError(t, err)
	at := time.Now()
	v := p.Suspend("s-1")
	assert.Less(t, time.Since(at), 50*time.Millisecond)
	assert.Equal(t, 500, v.Status)
	assert.Equal(t, "nothing is changed: lock "+path+".lock: another process of the aggregator is changing it\n"+
		"resource temporarily unavailable", v.Reason)
	assert.False(t, p.Suspensions().Suspended("s-1"))
	assert.Empty(t, p.heard)
	lock.Close()
	assert.Equal(t, 200, p.Suspend("s-1").Status)
}

// TestDrainIsTheAggregators: a drain told to one process holds at the other and at one that starts later, from the
// moment it was told; the latter is ready to take over while health says no; activate at any of them ends it at all.
// What is torn holds until then, and is said in the log.
func TestDrainIsTheAggregators(t *testing.T) {
	path := filepath.Join(t.TempDir(), "held.json")
	a, b := start(t, path), start(t, path)
	require.Equal(t, 200, a.Drain().Status)
	time.Sleep(30 * time.Millisecond)
	b.drain.refresh()
	b.drain.applyPhase()
	assert.True(t, b.away)
	assert.False(t, b.Ready(), "one that served before the drain is not ready")
	c := start(t, path)
	assert.True(t, c.away, "health says no from the start")
	assert.True(t, c.Ready(), "and it may take over")
	assert.LessOrEqual(t, c.drain.state.SinceMs(), c.loop.Now()-25, "since the call, not since its start")

	require.Equal(t, 200, c.Activate().Status)
	assert.False(t, c.away)
	for _, p := range []*process{a, b} {
		p.drain.refresh()
		p.drain.applyPhase()
		assert.False(t, p.away)
		assert.True(t, p.Ready())
	}
	assert.Equal(t, "so already", a.Activate().Reason)

	require.NoError(t, os.WriteFile(path+".drain", []byte(`{"form":"ternstage dr`), 0o600))
	d := start(t, path)
	assert.True(t, d.away)
	require.Equal(t, 200, d.Activate().Status)
	assert.False(t, start(t, path).away)
	assert.Contains(t, d.logged(t), "drain not read")

	gone := start(t, filepath.Join(t.TempDir(), "no such folder", "held.json"))
	assert.Equal(t, 500, gone.Drain().Status, "not kept for the next process is a no")
	gone.drain.refresh()
	gone.drain.applyPhase()
	assert.True(t, gone.away, "but it holds here")
}

// sides notes what the module is told of the other process.
type sides struct {
	shares, took int
	sent         []scheduler.WarmupSend
}

func (s *sides) HandOver() []scheduler.WarmupSend   { return s.sent }
func (s *sides) TakeOver(in []scheduler.WarmupSend) { s.took++ }
func (s *sides) OtherProcessActive()                { s.shares++ }

func (p *process) beside(path string, peers int, known bool) *sides {
	s := &sides{sent: []scheduler.WarmupSend{{Replica: 7, AgeMs: 1, WorkMs: 10}}}
	p.EnableHandover(HandoverConfig{Path: path, WindowMs: 60_000, StartedUnixMs: unixNowMs(), BrokerCount: peers, Core: s,
		Known: func(uint32) bool { return known }})
	return s
}

// TestTheOtherStillServes: while the old process serves, the new one's module is told at each look that the share of
// cold leafs is another's too; it ends with the hand-over. One that was killed frees it as well, and a third that
// starts beside the second is told of that one.
func TestTheOtherStillServes(t *testing.T) {
	dir := t.TempDir()
	path, hand := filepath.Join(dir, "held.json"), filepath.Join(dir, "cold.json")
	old, next := start(t, path), start(t, path)
	a, b := old.beside(hand, 2, true), next.beside(hand, 2, true)
	assert.Zero(t, a.shares, "nobody serves beside the first")
	for range 3 {
		next.handover.poll()
	}
	assert.Equal(t, 4, b.shares)
	old.Stop()
	next.handover.poll()
	assert.Equal(t, 1, b.took)
	shares := b.shares
	next.handover.poll()
	assert.Equal(t, shares, b.shares, "what it took over says what the other sent")

	old.handover.otherProcess.lock.Close() // it has ended
	next.handover.poll()
	assert.True(t, next.handover.otherProcess.alone)
	third := start(t, path)
	c := third.beside(hand, 2, true)
	assert.Positive(t, c.shares)
	next.handover.otherProcess.lock.Close() // killed
	third.handover.poll()
	shares = c.shares
	third.handover.poll()
	assert.Equal(t, shares, c.shares)
	assert.Zero(t, c.took)
}

// TestRecordsNotTaken: a record that is torn, old, of another version, of a process with other peers, or full of
// leafs that are not known here is not taken: the start is cold, and the log says why.
func TestRecordsNotTaken(t *testing.T) {
	sent := []scheduler.WarmupSend{{Replica: 7, AgeMs: 1, WorkMs: 10}}
	for says, c := range map[string]struct {
		text  []byte
		known bool
	}{
		"torn or not JSON":                    {handover.Encode(unixNowMs()+5000, 2, sent)[:30], true},
		"written before this process started": {handover.Encode(unixNowMs()-10_000, 2, sent), true},
		"version 9":                           {[]byte(`{"form":"ternstage cold sent","version":9,"sent":[],"sum":0}`), true},
		"another number of brokers":           {handover.Encode(unixNowMs()+5000, 3, sent), true},
		"backends that are not listed here":   {handover.Encode(unixNowMs()+5000, 2, sent), false},
		"field sum":                           {[]byte(`{"form":"ternstage cold sent","version":1,"sent":[],"sum":9}`), true},
	} {
		dir := t.TempDir()
		hand := filepath.Join(dir, "cold.json")
		require.NoError(t, os.WriteFile(hand, c.text, 0o600))
		p := start(t, filepath.Join(dir, "held.json"))
		s := p.beside(hand, 2, c.known)
		p.handover.poll()
		p.handover.poll()
		assert.Zero(t, s.took, says)
		text := p.logged(t)
		assert.Contains(t, text, says)
		assert.Equal(t, 1, strings.Count(text, "slow-start sends not taken over"), says)
	}
}
