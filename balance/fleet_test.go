package balance

import (
	"fmt"
	"testing"

	"ternstage/internal/slicemap"
)

// Many co-ordinators stepped together on virtual time: what is harmless in one and harmful when all do it.

// quiet takes actions and notes that the list was asked for.
type quiet struct{ asked bool }

func (q *quiet) Send(uint64, uint32, float64) {}
func (q *quiet) Cancel(uint64, int)           {}
func (q *quiet) DropIdle(uint32)              {}
func (q *quiet) Answer(uint64, bool)          {}
func (q *quiet) Refuse(uint64, float64)       {}
func (q *quiet) Fail(uint64)                  {}
func (q *quiet) Wake(float64)                 {}
func (q *quiet) Watch()                       { q.asked = true }
func (q *quiet) Tell([]byte)                  {}
func (q *quiet) Log(string)                   {}

// listService serves calls in turn, each for 100 ms; a call that has waited for 2 s fails, and its turn comes
// all the same; so does one at once that finds 40 others waiting.
type listService struct {
	line  []listCall
	until float64 // when it has served the first of the line
}

type listCall struct {
	who int
	at  float64
}

const (
	listServes = 100.0
	listWaits  = 2000.0
	listLine   = 40
)

// subscribe counts who of so many co-ordinators has a watch after each second, all started at one moment.
// Each takes itself for one of told.
func subscribe(t *testing.T, peers, told, seconds int) []int {
	t.Helper()
	var acts []*quiet
	var all []*Balancer
	for i := range peers {
		s := settings()
		s.Peers, s.Me, s.MustAsk, s.AskWithin = told, i%told, true, 10000
		s.Layout = slicemap.NewFixed(s.Shards, s.Cells, s.Reach)
		a := &quiet{}
		b, err := New(s, uint64(i)*7919+11, a)
		if err != nil {
			t.Fatal(err)
		}
		b.ListChanged(1000, ListCached, []Entry{{Replica: 1, State: Ready}})
		acts, all = append(acts, a), append(all, b)
	}
	var l listService
	failed, watching, counts := make([]bool, peers), map[int]bool{}, []int{}
	for now := 1000.0; now < 1000+1000*float64(seconds); now += 5 {
		for len(l.line) > 0 && now >= l.until {
			if c := l.line[0]; now-c.at <= listWaits {
				all[c.who].ListChanged(now, ListDelta, nil)
				watching[c.who] = true
			}
			l.line, l.until = l.line[1:], l.until+listServes
		}
		for _, c := range l.line {
			if now-c.at > listWaits && !failed[c.who] {
				failed[c.who] = true
				all[c.who].ListChanged(now, ListFailed, nil)
			}
		}
		for i, b := range all {
			b.Woken(now)
			if b.EndTurn(now); !acts[i].asked {
				continue
			}
			if acts[i].asked = false; len(l.line) >= listLine {
				b.ListChanged(now, ListFailed, nil)
				continue
			}
			if len(l.line) == 0 {
				l.until = now + listServes
			}
			failed[i] = false
			l.line = append(l.line, listCall{i, now})
		}
		if int(now)%1000 == 0 {
			counts = append(counts, len(watching))
		}
	}
	return counts
}

// TestCrowdGetsItsListFromANarrowService: all of a large fleet start at once before a list service that can
// take 10 calls a second. Calls that wait until they fail use it up all the same, so what each may do alone
// starves all of them.
func TestCrowdGetsItsListFromANarrowService(t *testing.T) {
	for _, peers := range []int{3, 20, 80, 200} {
		t.Run(fmt.Sprint(peers), func(t *testing.T) {
			within := 3 + peers*int(2*listServes)/1000 + 12 // 2 x in turn, and a delay
			counts := subscribe(t, peers, peers, within)
			if last := counts[len(counts)-1]; last < peers*9/10 {
				t.Fatalf("%d of %d watch after %d s: %v", last, peers, within, counts)
			}
			t.Log(counts)
		})
	}
	// The check is seen to fail: 80 that pace themselves as if they were few never get through.
	if counts := subscribe(t, 80, 3, 25); counts[len(counts)-1] > 60 {
		t.Fatalf("80 unpaced co-ordinators got through: %v", counts)
	}
}
