package main

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["halves"] = playHalves }

// playHalves: some hundred bad clients send half a request and stay; usual clients ask meanwhile.
func playHalves(w *world) {
	const (
		sockets    = 256
		badClients = 400
		deadline   = 3.0
		lateAfter  = 550 * time.Millisecond
	)
	f := w.newFleet(50)
	d := w.newDiscovery(f.members())
	b := w.startBroker(brokerOptions{name: "n0", settings: settings(0, 1, defaultClasses), known: f.members(),
		discovery: d.address, sockets: sockets})
	b.waitHealthy()
	for i := range 10 {
		if r := b.ask(newQuery("quote", i, 3, 3)); r.status != 200 {
			giveUp("quiet traffic is not served: %d %v", r.status, r.err)
		}
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	var connected, ended atomic.Int64
	if w.trouble {
		for range badClients {
			all.Add(1)
			go func() {
				defer all.Done()
				for {
					select {
					case <-stop:
						return
					default:
					}
					connection, err := net.DialTimeout("tcp4", b.address, time.Second)
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					connected.Add(1)
					text := newQuery("quote", 0, 3, 3).bytes()
					_, _ = io.WriteString(connection, text[:len(text)/2])
					_ = connection.SetReadDeadline(time.Now().Add(20 * time.Second))
					_, _ = io.Copy(io.Discard, bufio.NewReader(connection)) // until the broker ends it
					_ = connection.Close()
					ended.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
	}
	for range 60 {
		all.Add(1)
		go func() {
			defer all.Done()
			q := newQuery("quote", int(time.Now().UnixNano()%slices), 3, deadline)
			r := b.ask(q)
			switch {
			case r.sentAt.IsZero():
			case r.status == 0 && r.took() < time.Duration(deadline*1000)*time.Millisecond:
				w.note("UNHEARD %s: %v", q.id, r.err) // the connection was shut or refused: the client asks again
			case r.status == 0, r.took() > time.Duration(deadline*1000)*time.Millisecond+lateAfter:
				w.breaks("request %s with %.1f s: status %d after %d ms (%v)", q.id, deadline, r.status,
					r.took().Milliseconds(), r.err)
			}
		}()
		time.Sleep(250 * time.Millisecond)
	}
	time.Sleep(4 * time.Second)
	close(stop)
	b.kill()
	all.Wait()
	w.note("bad clients: %d connections, %d ended", connected.Load(), ended.Load())
}
