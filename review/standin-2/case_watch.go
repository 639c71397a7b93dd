package main

import (
	"sync"
	"time"
)

func init() { cases["watch"] = playWatch }

// playWatch: the open watch falls silent, a leaf begins to drain right after, and the call with which the broker opens
// the watch anew waits for 2 s at a crowded discovery and fails.
func playWatch(w *world) {
	const (
		toldBy = 6 * time.Second // what a silent watch misses counts as told by then
		grace  = 1000*time.Millisecond + 50*time.Millisecond
	)
	f := w.newFleet(40)
	d := w.newDiscovery(f.members())
	b := w.startBroker(brokerOptions{name: "n0", settings: settings(2, 3, defaultClasses), known: f.members(),
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
	calls := d.callCount()
	waitFor(15*time.Second, "next watch", func() bool { return d.callCount() > calls })
	time.Sleep(20 * time.Millisecond)
	const drained = "s-05"
	silentAt := time.Now()
	if w.trouble {
		d.silence()
	}
	time.Sleep(200 * time.Millisecond)
	d.set(drained, "DRAINING")
	time.Sleep(14 * time.Second)
	close(stop)
	clients.Wait()
	told := silentAt.Add(toldBy)
	if at, ok := d.told(drained); ok && at.Before(told) {
		told = at
	}
	before, after := 0, 0
	for _, a := range f.all() {
		if a.leaf != drained {
			continue
		}
		if a.at.Before(silentAt) {
			before++
		}
		if a.at.Sub(told) > grace {
			after++
			w.breaks("%s got %s %d ms after the drain counted as told (%d ms after the watch fell silent)", a.leaf, a.id,
				a.at.Sub(told).Milliseconds(), a.at.Sub(silentAt).Milliseconds())
		}
	}
	w.note("%s got %d parts before, %d after the grace", drained, before, after)
	if before < 5 {
		giveUp("the leaf got only %d parts before its drain", before)
	}
}
