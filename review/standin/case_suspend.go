package main

import (
	"errors"
	"net/http"
	"sync"
	"time"
)

// The course of the case, after the broker is ready.
const (
	outageBegins  = 2 * time.Second
	suspended     = 6 * time.Second
	outageEnds    = 10500 * time.Millisecond // 8.5 s after its beginning; the brief has 8.2 to 24 s
	drainBegins   = 11500 * time.Millisecond
	playEnds      = 66 * time.Second
	toldWithin    = 6 * time.Second // after discovery has the change and can be reached
	drainGrace    = time.Second
	mostLenient   = 4 * 10 * time.Second // four times ask_within_ms
	queryInterval = 100 * time.Millisecond
)

// playSuspendInOutage suspends one leaf while discovery is down. After the return of discovery another leaf begins to
// drain. The broker counts as told 6 s later and may send to that leaf for 1 s more.
func playSuspendInOutage(p *play) (broken bool, err error) {
	leafs, members, err := startLeafs(p.rec, 4)
	if err != nil {
		return false, err
	}
	list, err := startDiscovery(p.rec, members)
	if err != nil {
		return false, err
	}
	b, err := configure(p, "n1", memberList{firstRevision, true, members}, list.addr, settings())
	if err != nil {
		return false, err
	}
	if err := b.start(p); err != nil {
		return false, err
	}
	held, drained := leafs[3], leafs[1]
	began := time.Now()
	at := func(offset time.Duration) { time.Sleep(time.Until(began.Add(offset))) }

	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() { askSteadily(p.rec, b.listen, &clients, stop) })

	at(outageBegins)
	if p.trouble {
		list.setDown(true)
	}
	at(suspended)
	status, err := b.operate("/v1/leafs/" + held.id + "/suspend")
	if err != nil || status/100 != 2 {
		return false, errors.Join(errors.New("the call to suspend was not answered with yes"), err)
	}
	at(outageEnds)
	list.setDown(false)
	returned := time.Now()
	at(drainBegins)
	changed := list.setPhase(drained.id, "DRAINING")
	at(playEnds)
	close(stop)
	clients.Wait()
	if !b.running() {
		return false, errors.New("the broker has ended")
	}

	latest := changed.Add(toldWithin + drainGrace + slack)
	lenient := returned.Add(mostLenient + toldWithin + drainGrace + slack)
	before, late, later := 0, 0, 0
	for _, a := range drained.attempts() {
		switch {
		case a.firstByte.After(lenient):
			late++
			later++
		case a.firstByte.After(latest):
			late++
		default:
			before++
		}
	}
	p.rec.say("calls to discovery after its return: %d", list.callsSince(returned))
	p.rec.say("sent to %s, which drains: %d until %.0f ms, %d after it, of these %d after %.0f ms", drained.id, before,
		p.rec.ms(latest), late, later, p.rec.ms(lenient))
	if before == 0 {
		return false, errors.New("the leaf that drains was never in use")
	}
	return late > 0, nil
}

// askSteadily sends quotes until stop is closed.
func askSteadily(rec *record, address string, clients *sync.WaitGroup, stop chan struct{}) {
	client := newClient()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(queryInterval):
		}
		q := newQuery("quote", 3*time.Second, n%8, (n+1)%8, (n+2)%8)
		clients.Go(func() {
			status, err := send(rec, client, address, q)
			if err != nil || status != http.StatusOK {
				rec.line("client: %s was not served", q.id)
			}
		})
	}
}
