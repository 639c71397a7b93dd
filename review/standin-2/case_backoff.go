package main

import (
	"sync"
	"time"
)

func init() { cases["backoff"] = playBackoff }

// playBackoff: discovery is down for 8.2 to 24 s. A leaf begins to drain half a second after its return. The broker
// is one of 300 by its settings.
func playBackoff(w *world) {
	const (
		brokers     = 300
		leastOutage = 8200 * time.Millisecond
		mostOutage  = 24 * time.Second
		toldBy      = 6 * time.Second // a change counts as told by then, once discovery has it and can be reached
		grace       = 1000*time.Millisecond + 50*time.Millisecond
	)
	f := w.newFleet(40)
	d := w.newDiscovery(f.members())
	d.resets = true
	b := w.startBroker(brokerOptions{name: "n0", settings: settings(0, brokers, defaultClasses), known: f.members(),
		discovery: d.address})
	b.waitHealthy()
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for c := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := c * 4; ; i += 3 {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					b.ask(newQuery("quote", i, 3, 3))
				}
			}
		}()
	}
	waitFor(15*time.Second, "first call to discovery", func() bool { return d.callCount() > 0 })
	time.Sleep(2 * time.Second)
	if w.trouble {
		downAt := time.Now()
		d.setDown(true)
		time.Sleep(leastOutage)
		calls := d.callCount()
		for d.callCount() == calls && time.Since(downAt) < mostOutage-200*time.Millisecond {
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		d.setDown(false)
		w.note("discovery was down for %d ms", time.Since(downAt).Milliseconds())
	}
	time.Sleep(500 * time.Millisecond)
	const drained = "s-05"
	changedAt := time.Now()
	d.set(drained, "DRAINING")
	time.Sleep(30 * time.Second)
	close(stop)
	clients.Wait()
	told := changedAt.Add(toldBy)
	if at, ok := d.told(drained); ok && at.Before(told) {
		told = at
	}
	before, after := 0, 0
	for _, a := range f.all() {
		if a.leaf != drained {
			continue
		}
		if a.at.Before(changedAt) {
			before++
		}
		if a.at.Sub(told) > grace {
			after++
			w.breaks("%s got %s %d ms after the drain counted as told (%d ms after discovery had it)", a.leaf, a.id,
				a.at.Sub(told).Milliseconds(), a.at.Sub(changedAt).Milliseconds())
		}
	}
	w.note("%s got %d parts before its drain, %d after the grace", drained, before, after)
	if before < 5 {
		giveUp("the leaf got only %d parts before its drain", before)
	}
}
